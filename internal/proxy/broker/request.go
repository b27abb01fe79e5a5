package broker

import (
	"errors"
	"time"

	"moorstack/balancer"
)

// Request is a job that a client has submitted through a front.
type Request struct {
	ID     string
	Class  int // index of Settings.Classes
	Tenant int // index of Settings.Tenants
	// Account is whose rate limit the request counts against, where a front was given one; empty: none by
	// name.
	Account      string
	Timeout      time.Duration // until the client gives up
	ExpectedWork time.Duration // running time on a standard core; 0: not known
	Slots        float64       // worker slots that it takes; 0: not known
	Memory       float64       // units of memory that it takes; 0: not known
	IsRetry      bool          // the client marks it as a retry
	Payload      any           // passed to the front's endpoints as it is

	Route          balancer.Route // nil: any endpoint
	MaxAttempts    int            // within the class's limit; 0: that limit
	AttemptTimeout time.Duration  // of each attempt, within Timeout; 0: none of its own
}

// ResponseKind is how a request ended.
type ResponseKind uint8

// The kinds of final response.
const (
	Served   ResponseKind = iota
	Rejected              // not served, and a retry is harmless
	Failed                // not served, and the job may have run
)

// Response is a request's final response.
type Response struct {
	Kind       ResponseKind
	Body       []byte        // of Served
	RetryAfter time.Duration // of Rejected: when to retry; 0: not given
	Reason     string        // of Rejected, from the admission controller
}

// Client waits for one request's final response.
type Client interface {
	// Respond is called exactly once, unless Broker.ClientDisconnected comes before.
	Respond(Response)
}

// DisconnectChecker is a Client that can detect that it has disconnected before its front has read so.
//
// Hazard: the process is stalled or overloaded, and the end of a client's connection is unread while an
// attempt is started for it.
type DisconnectChecker interface{ Disconnected() bool }

// AdmissionController decides, before the balancer, whether a request is admitted. It picks no endpoint and
// has no part in the final response of a request that it admits.
type AdmissionController interface {
	// Admit returns false, with a Rejection, for a request that must be rejected at once.
	Admit(r *Request) (Rejection, bool)
}

// Rejection is why an admission controller rejects a request.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration
}

// ErrDuplicateID is returned for a request whose ID is in use by an open one. Its text is a response's body,
// and so never changes.
var ErrDuplicateID = errors.New("a transaction with this ID is open already")

// request is an open one: from Submit until it has its response and no attempt is in flight.
type request struct {
	Request
	client   Client // nil once it has its response, or has disconnected
	deadline time.Duration
	attempts []*attempt // by attempt number
	inFlight int        // attempts that have not ended
}

// PendingCount is the number of requests without their final response.
func (b *Broker) PendingCount() int { return b.pending }

// Submit takes a request. Unless it returns ErrDuplicateID, the client gets one response, maybe before Submit
// returns.
func (b *Broker) Submit(r Request, client Client) error {
	id := balancer.RequestID(r.ID)
	if b.requests[id] != nil {
		return ErrDuplicateID
	}
	if b.admission != nil {
		if rejection, ok := b.admission.Admit(&r); !ok {
			client.Respond(Response{Kind: Rejected, RetryAfter: rejection.RetryAfter,
				Reason: rejection.Reason})
			return nil
		}
	}
	req := &request{Request: r, client: client, deadline: b.clock.Now() + r.Timeout}
	b.requests[id] = req
	b.pending++
	b.run(func() {
		now := b.clock.Now()
		submitted := r.forBalancer()
		submitted.ID, submitted.Timeout, submitted.IsRetry = id, req.deadline-now, r.IsRetry
		b.balancer.Submit(now, submitted)
	})
	return nil
}

// forBalancer is the request as the balancer sees it, without ID.
func (r *Request) forBalancer() balancer.Request {
	return balancer.Request{Class: r.Class, Tenant: r.Tenant, Timeout: r.Timeout,
		ExpectedWork: r.ExpectedWork, Slots: r.Slots, Memory: r.Memory, Route: r.Route,
		MaxAttempts: r.MaxAttempts}
}

// Explain gives, by endpoint name, whether the balancer would consider that endpoint for a request that came
// now, at a tier of its route, and if not, why. It changes nothing.
func (b *Broker) Explain(r Request, tier int) map[string]balancer.Eligibility {
	out := map[string]balancer.Eligibility{}
	for _, v := range b.balancer.Explain(b.clock.Now(), r.forBalancer(), tier) {
		if e := b.endpoints[v.Worker.ID]; e != nil {
			out[e.name] = v
		}
	}
	return out
}

// ClientDisconnected ends a request whose client has disconnected. The client gets no response any more.
func (b *Broker) ClientDisconnected(id string) {
	req := b.requests[balancer.RequestID(id)]
	if req == nil || req.client == nil {
		return
	}
	req.client = nil
	b.pending--
	b.run(func() {
		b.balancer.ClientDisconnected(balancer.RequestID(id))
		b.forget(req)
	})
}

// clientWaits reports whether the client still waits for the response. A request whose client turns out to
// have disconnected is ended.
func (b *Broker) clientWaits(req *request) bool {
	if c, ok := req.client.(DisconnectChecker); ok && c.Disconnected() {
		b.ClientDisconnected(req.ID)
	}
	return req.client != nil
}

// respond gives the final response, once.
func (b *Broker) respond(req *request, r Response) {
	if client := req.client; client != nil {
		req.client = nil
		b.pending--
		client.Respond(r)
	}
}

// forget drops a request that has its response and no attempt in flight.
func (b *Broker) forget(req *request) {
	if req.client == nil && req.inFlight == 0 {
		delete(b.requests, balancer.RequestID(req.ID))
	}
}
