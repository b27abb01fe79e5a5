package platform

import (
	"fmt"
	"time"

	"moorstack/internal/netio/http1"
	"moorstack/internal/proxy/broker"
)

// ScheduledRequest is a request that this node itself starts at a scheduled time.
type ScheduledRequest struct {
	ID           string // also used as the idempotency key
	Class        int    // index of the class
	Tenant       int    // index of the tenant
	Account      string // empty: none
	Path         string
	Body         string
	ExpectedWork time.Duration // 0: unknown
	Timeout      time.Duration
	IsRetry      bool
}

// SubmitScheduled submits a scheduled request to the broker as if a client had sent it: routing rules,
// limits and admission control apply as to any other request. Unless it returns an error, it has
// client.Respond called exactly once.
func (f *Front) SubmitScheduled(s ScheduledRequest, client broker.Client) error {
	p := &payload{target: s.Path, idempotencyKey: s.ID, body: []byte(s.Body)}
	r := broker.Request{
		ID:           s.ID,
		Class:        s.Class,
		Tenant:       s.Tenant,
		Account:      s.Account,
		ExpectedWork: s.ExpectedWork,
		Timeout:      s.Timeout,
		IsRetry:      s.IsRetry,
		Payload:      p,
	}
	d, err := f.route(&http1.Message{Method: "POST", Target: s.Path}, &r, p)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", s.ID, err)
	case d.RejectReason != "":
		client.Respond(broker.Response{Kind: broker.Rejected, RetryAfter: d.RetryAfter,
			Reason: d.RejectReason})
		return nil
	case f.openElsewhere(r.ID):
		return broker.ErrDuplicateID
	}
	return f.broker.Submit(r, client)
}
