package platform

import (
	"fmt"
	"net/url"
	"slices"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/http1"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/hotrestart"
)

// A adoption is an open job that another process of the node took, and could not finish in
// the time that it had. Its attempts are out at next hops; this process waits for their
// call-backs and answers the client. It begins no further attempt: what the job may have
// done is the other's to know.
type adoption struct {
	workers []string // that have it
	timer   *eventloop.Timer
}

// MigrateRequests gives the open jobs that it can to another process, by give. What has an
// attempt that no next hop has accepted yet, or waits for one, stays.
func (f *Front) MigrateRequests(give func(j hotrestart.MigratedRequest, fd int) error) (given int) {
	for c := range f.clients {
		if !c.awaitsResponse || c.conn.Closed() || c.conn.UnsentBytes() > 0 || len(c.conn.Input()) > 0 {
			continue
		}
		j := hotrestart.MigratedRequest{ID: c.requestID, Class: c.class}
		accepted := true
		if c.adoption != nil {
			j.Endpoints, j.Deadline = c.adoption.workers, c.deadline
		} else {
			until, outs := f.broker.OutstandingAttempts(c.requestID)
			j.Deadline = until
			for _, o := range outs {
				b, ok := o.Running.(*attempt)
				accepted = accepted && ok && b.accepted
				j.Endpoints = append(j.Endpoints, o.Endpoint)
			}
		}
		if !accepted || len(j.Endpoints) == 0 {
			continue
		}
		j.Timeout = max(j.Deadline-f.loop.Now(), 1)
		if err := give(j, c.conn.FD()); err != nil {
			f.log.WithError(err).Warn("an open job can't be given to the other process")
			return given
		}
		given++
		c.awaitsResponse = false
		if c.adoption != nil {
			f.removeAdopted(c)
		} else {
			f.broker.Migrate(c.requestID)
		}
		c.conn.Detach()
		c.forget()
	}
	return given
}

// AdoptRequest takes an open job with its client's connection.
func (f *Front) AdoptRequest(j *hotrestart.MigratedRequest, fd int) error {
	until := j.Deadline // an older process tells of no span
	if j.Timeout > 0 {
		until = f.loop.Now() + j.Timeout
	}
	c := &client{
		front:          f,
		requestID:      j.ID,
		class:          j.Class,
		awaitsResponse: true,
		sentMessage:    true,
		deadline:       until,
		adoption:       &adoption{workers: j.Endpoints},
	}
	conn, err := f.listener.Adopt(fd, c)
	if err != nil {
		return fmt.Errorf("taking job %s over: %w", j.ID, err)
	}
	c.conn = conn
	f.clients[c] = struct{}{}
	f.adopted[j.ID] = c
	c.adoption.timer = f.loop.At(until, func() { f.respondAdopted(c, broker.Response{Kind: broker.Failed}) })
	return nil
}

func (f *Front) removeAdopted(c *client) {
	c.adoption.timer.Stop()
	delete(f.adopted, c.requestID)
	c.adoption = nil
}

// respondAdopted gives its final answer, once.
func (f *Front) respondAdopted(c *client, a broker.Response) {
	f.removeAdopted(c)
	c.Respond(a)
}

// handleAdoptedCallBack takes a call-back for a job that another process took, and reports whether
// there is one: the first result counts, and when no attempt is left it has failed.
func (f *Front) handleAdoptedCallBack(id, from, state string, result *string) bool {
	c := f.adopted[id]
	if c == nil || !slices.Contains(c.adoption.workers, from) {
		return false
	}
	switch {
	case state == "done" && result != nil:
		f.respondAdopted(c, broker.Response{Kind: broker.Served, Body: []byte(*result)})
	case state == "started" || state == "running":
	default:
		c.adoption.workers = slices.DeleteFunc(c.adoption.workers, func(h string) bool { return h == from })
		if len(c.adoption.workers) == 0 {
			f.respondAdopted(c, broker.Response{Kind: broker.Failed})
		}
	}
	return true
}

// abandonAdopted gives up a job whose client has left.
func (f *Front) abandonAdopted(c *client) {
	for _, name := range c.adoption.workers {
		if h := f.workers[name]; h != nil {
			request := http1.AppendRequest(
				nil,
				"DELETE",
				"/jobs/"+url.PathEscape(c.requestID),
				h.address,
				"",
				nil,
			)
			f.loop.After(cancelTimeout, h.sendIdempotent(request, func(*http1.Message, []byte, bool) {}))
		}
	}
	f.removeAdopted(c)
}
