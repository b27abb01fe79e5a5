package platform

import (
	"fmt"
	"time"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
)

// Planned is a job that this node begins by itself, at its time.
type Planned struct {
	ID      string // its key, too
	Class   int
	Tenant  int
	Account string
	Target  string
	Body    string
	Work    time.Duration
	Left    time.Duration
	Repeat  bool
}

// Begin hands a planned job to the core, as if a client had sent it: rules of routing, limits and gates
// hold for it as for any other. Unless it returns an error, the client is answered once. It is called on
// the loop.
func (f *Front) Begin(p Planned, client broker.Client) error {
	j := &job{target: p.Target, key: p.ID, body: []byte(p.Body)}
	t := broker.Transaction{ID: p.ID, Class: p.Class, Tenant: p.Tenant, Account: p.Account, Work: p.Work,
		Left: p.Left, Repeat: p.Repeat, Job: j}
	m := &eventloop.Message{Method: "POST", Target: p.Target}
	d, err := f.decide(m, &t, j)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", p.ID, err)
	case d.Refused != "":
		client.Answer(broker.Answer{Kind: broker.Busy, RetryAfter: d.RetryAfter, Why: d.Refused})
		return nil
	case f.elsewhere(t.ID):
		return broker.ErrKnown
	}
	return f.core.Begin(t, client)
}
