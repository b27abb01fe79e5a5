package platform

import (
	"fmt"
	"slices"
	"time"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/hotrestart"
)

// adoption is the state of an open request that the other process of the node accepted and could not finish
// before its end. Its attempts are outstanding at workers; this process waits for their call-backs and
// responds to the client. It starts no further attempt, since only the other process knows what the earlier
// attempts may have done.
type adoption struct {
	workers []string         // workers that have accepted it and not called back yet
	timer   *eventloop.Timer // for the request's deadline
}

// MigrateRequests migrates open requests to the other process by calling send for each, until send fails. It
// returns the number of migrated requests. A request stays here if it waits for a worker, or if one of its
// attempts has not been accepted by its worker yet.
func (f *Front) MigrateRequests(
	send func(r hotrestart.MigratedRequest, clientFD int) error,
) (migrated int) {
	for c := range f.clients {
		if !c.awaitsResponse || c.conn.Closed() || c.conn.UnsentBytes() > 0 || len(c.conn.Input()) > 0 {
			continue
		}
		r := hotrestart.MigratedRequest{ID: c.requestID, Class: c.class}
		var ok bool
		if r.Endpoints, r.Deadline, ok = f.outstanding(c); !ok {
			continue
		}
		r.Timeout = max(r.Deadline-f.loop.Now(), 1)
		if err := send(r, c.conn.FD()); err != nil {
			f.log.WithError(err).WithField("request_id", r.ID).Warn("migrating a request failed")
			return migrated
		}
		migrated++
		c.awaitsResponse = false
		if c.adoption != nil {
			f.removeAdopted(c)
		} else {
			f.broker.Migrate(c.requestID)
		}
		c.conn.Detach()
		c.unregister()
	}
	return migrated
}

// outstanding returns the workers that have accepted the client's request, and the request's deadline. ok is
// false if there is no such worker or if an attempt has not been accepted yet.
func (f *Front) outstanding(c *client) (workers []string, deadline time.Duration, ok bool) {
	if c.adoption != nil {
		return c.adoption.workers, c.deadline, len(c.adoption.workers) > 0
	}
	deadline, attempts := f.broker.OutstandingAttempts(c.requestID)
	for _, o := range attempts {
		if a, ok := o.Running.(*attempt); !ok || !a.accepted {
			return nil, 0, false
		}
		workers = append(workers, o.Endpoint)
	}
	return workers, deadline, len(workers) > 0
}

// AdoptRequest adopts a request that the other process has migrated, together with its client's connection.
// The Front owns the descriptor from then on, unless an error is returned.
func (f *Front) AdoptRequest(r *hotrestart.MigratedRequest, clientFD int) error {
	deadline := r.Deadline // older versions send no timeout
	if r.Timeout > 0 {
		deadline = f.loop.Now() + r.Timeout
	}
	c := &client{
		front:          f,
		requestID:      r.ID,
		class:          r.Class,
		awaitsResponse: true,
		sentMessage:    true,
		deadline:       deadline,
		adoption:       &adoption{workers: r.Endpoints},
	}
	conn, err := f.listener.Adopt(clientFD, c)
	if err != nil {
		return fmt.Errorf("adopting request %s: %w", r.ID, err)
	}
	c.conn = conn
	f.clients[c] = struct{}{}
	f.adopted[r.ID] = c
	c.adoption.timer = f.loop.At(deadline, func() {
		f.respondAdopted(c, broker.Response{Kind: broker.Failed})
	})
	return nil
}

// removeAdopted ends the adoption of a client's request.
func (f *Front) removeAdopted(c *client) {
	c.adoption.timer.Stop()
	delete(f.adopted, c.requestID)
	c.adoption = nil
}

// respondAdopted sends the final response to an adopted request.
func (f *Front) respondAdopted(c *client, r broker.Response) {
	f.removeAdopted(c)
	c.Respond(r)
}

// handleAdoptedCallBack applies a call-back for an adopted request, and reports false if it is for none. The
// first result becomes the response; the request fails once no attempt is outstanding.
func (f *Front) handleAdoptedCallBack(cb *callBack) bool {
	c := f.adopted[cb.RequestID]
	if c == nil || !slices.Contains(c.adoption.workers, cb.Worker) {
		return false
	}
	switch {
	case cb.State == callBackDone && cb.Result != nil:
		f.respondAdopted(c, broker.Response{Kind: broker.Served, Body: []byte(*cb.Result)})
	case cb.State == callBackStarted || cb.State == callBackRunning:
	default:
		c.adoption.workers = slices.DeleteFunc(c.adoption.workers, func(name string) bool {
			return name == cb.Worker
		})
		if len(c.adoption.workers) == 0 {
			f.respondAdopted(c, broker.Response{Kind: broker.Failed})
		}
	}
	return true
}

// abandonAdopted cancels the attempts of an adopted request whose client has disconnected.
func (f *Front) abandonAdopted(c *client) {
	for _, name := range c.adoption.workers {
		if w := f.workers[name]; w != nil {
			w.cancel(c.requestID)
		}
	}
	f.removeAdopted(c)
}
