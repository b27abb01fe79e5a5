package platform

import (
	"fmt"
	"net/url"
	"slices"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/hotrestart"
)

// A foster is an open job that another process of the node took, and could not finish in
// the time that it had. Its attempts are out at next hops; this process waits for their
// call-backs and answers the client. It begins no further attempt: what the job may have
// done is the other's to know.
type foster struct {
	hops  []string // that have it
	timer *eventloop.Timer
}

// GiveAway gives the open jobs that it can to another process, by give. What has an
// attempt that no next hop has accepted yet, or waits for one, stays.
func (f *Front) GiveAway(give func(j hotrestart.Job, fd int) error) (given int) {
	for c := range f.clients {
		if !c.waits || c.conn.Closed() || c.conn.Unsent() > 0 || len(c.conn.In()) > 0 {
			continue
		}
		j := hotrestart.Job{ID: c.id, Class: c.class}
		accepted := true
		if c.foster != nil {
			j.Hops, j.Until = c.foster.hops, c.until
		} else {
			until, outs := f.core.Outs(c.id)
			j.Until = until
			for _, o := range outs {
				b, ok := o.Running.(*branch)
				accepted = accepted && ok && b.accepted
				j.Hops = append(j.Hops, o.Hop)
			}
		}
		if !accepted || len(j.Hops) == 0 {
			continue
		}
		j.Left = max(j.Until-f.loop.Now(), 1)
		if err := give(j, c.conn.FD()); err != nil {
			f.log.WithError(err).Warn("an open job can't be given to the other process")
			return given
		}
		given++
		c.waits = false
		if c.foster != nil {
			f.unfoster(c)
		} else {
			f.core.Leave(c.id)
		}
		c.conn.Detach()
		c.gone()
	}
	return given
}

// Foster takes an open job with its client's connection.
func (f *Front) Foster(j *hotrestart.Job, fd int) error {
	until := j.Until // an older process tells of no span
	if j.Left > 0 {
		until = f.loop.Now() + j.Left
	}
	c := &client{front: f, id: j.ID, class: j.Class, waits: true, used: true, until: until,
		foster: &foster{hops: j.Hops}}
	conn, err := f.listener.Adopt(fd, c)
	if err != nil {
		return fmt.Errorf("taking job %s over: %w", j.ID, err)
	}
	c.conn = conn
	f.clients[c] = struct{}{}
	f.fosters[j.ID] = c
	c.foster.timer = f.loop.At(until, func() { f.endFoster(c, broker.Answer{Kind: broker.Failed}) })
	return nil
}

func (f *Front) unfoster(c *client) {
	c.foster.timer.Stop()
	delete(f.fosters, c.id)
	c.foster = nil
}

// endFoster gives its final answer, once.
func (f *Front) endFoster(c *client, a broker.Answer) {
	f.unfoster(c)
	c.Answer(a)
}

// fostered takes a call-back for a job that another process took, and reports whether
// there is one: the first result counts, and when no attempt is left it has failed.
func (f *Front) fostered(id, from, state string, result *string) bool {
	c := f.fosters[id]
	if c == nil || !slices.Contains(c.foster.hops, from) {
		return false
	}
	switch {
	case state == "done" && result != nil:
		f.endFoster(c, broker.Answer{Kind: broker.Served, Result: []byte(*result)})
	case state == "started" || state == "running":
	default:
		c.foster.hops = slices.DeleteFunc(c.foster.hops, func(h string) bool { return h == from })
		if len(c.foster.hops) == 0 {
			f.endFoster(c, broker.Answer{Kind: broker.Failed})
		}
	}
	return true
}

// abandon gives up a job whose client has left.
func (f *Front) abandon(c *client) {
	for _, name := range c.foster.hops {
		if h := f.hops[name]; h != nil {
			request := eventloop.AppendRequest(nil, "DELETE", "/jobs/"+url.PathEscape(c.id), h.address, "", nil)
			f.loop.After(calling, h.ask(request, func(*eventloop.Message, []byte, bool) {}))
		}
	}
	f.unfoster(c)
}
