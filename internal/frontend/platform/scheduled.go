package platform

import (
	"fmt"
	"time"

	"moorstack/internal/netio/http1"
	"moorstack/internal/proxy/broker"
)

// ScheduledRequest is a job that this node begins by itself, at its time.
type ScheduledRequest struct {
	ID           string // its key, too
	Class        int
	Tenant       int
	Account      string
	Path         string
	Body         string
	ExpectedWork time.Duration
	Timeout      time.Duration
	IsRetry      bool
}

// SubmitScheduled hands a planned job to the core, as if a client had sent it: rules of routing, limits and
// gates hold for it as for any other. Unless it returns an error, the client is answered once. It is called
// on the loop.
func (f *Front) SubmitScheduled(p ScheduledRequest, client broker.Client) error {
	j := &payload{target: p.Path, key: p.ID, body: []byte(p.Body)}
	t := broker.Request{
		ID:           p.ID,
		Class:        p.Class,
		Tenant:       p.Tenant,
		Account:      p.Account,
		ExpectedWork: p.ExpectedWork,
		Timeout:      p.Timeout,
		IsRetry:      p.IsRetry,
		Payload:      j,
	}
	m := &http1.Message{Method: "POST", Target: p.Path}
	d, err := f.route(m, &t, j)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", p.ID, err)
	case d.RejectReason != "":
		client.Respond(
			broker.Response{Kind: broker.Rejected, RetryAfter: d.RetryAfter, Reason: d.RejectReason},
		)
		return nil
	case f.openElsewhere(t.ID):
		return broker.ErrDuplicateID
	}
	return f.broker.Submit(t, client)
}
