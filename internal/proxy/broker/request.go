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
	// Account is the account whose rate limit the request counts against. It is empty if the front does not
	// know one.
	Account      string
	Timeout      time.Duration // from now until the final response is due
	ExpectedWork time.Duration // run time on a standard core; 0: unknown
	Slots        float64       // worker slots that it occupies; 0: unknown
	Memory       float64       // units of memory that it occupies; 0: unknown
	IsRetry      bool          // the client has marked it as a retry
	MustFinish   bool          // reject it rather than start an attempt that is not expected to end in time
	Payload      any           // passed unchanged to the front's endpoints

	Route          balancer.Route // nil: any endpoint
	MaxAttempts    int            // lowers the class's limit; 0: the class's limit
	AttemptTimeout time.Duration  // of each attempt, within Timeout; 0: only Timeout applies
}

// ResponseKind is the outcome of a request.
type ResponseKind uint8

// The kinds of final response.
const (
	Served   ResponseKind = iota
	Rejected              // not served; a retry is safe
	Failed                // not served, but the job may have run
)

// Response is a request's final response.
type Response struct {
	Kind       ResponseKind
	Body       []byte        // of Served
	RetryAfter time.Duration // of Rejected: how long to wait before a retry; 0: not specified
	Reason     string        // of Rejected, from the admission controller
	// MayHaveRun is set for Rejected if an attempt was sent and may have run. A retry is then safe only for
	// as long as the workers recognise the request's key.
	MayHaveRun bool
}

// Client receives the final response to one request.
type Client interface {
	// Respond is called exactly once, unless Broker.ClientDisconnected is called first.
	Respond(Response)
}

// DisconnectChecker is implemented by a Client that can check its connection for a disconnect that the front
// has not read yet.
//
// Without this check, a stalled or overloaded process would run attempts for clients that have already
// disconnected.
type DisconnectChecker interface{ Disconnected() bool }

// AdmissionController decides whether a request is admitted before it reaches the balancer. It does not
// choose endpoints and does not influence the final response to a request that it has admitted.
type AdmissionController interface {
	// Admit returns true if the request is admitted. Otherwise it is rejected at once with the Rejection.
	Admit(r *Request) (Rejection, bool)
}

// Rejection is the reason why a request is not admitted, and when the client may retry.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration
}

// ErrDuplicateID is returned for a request with the ID of an open request. Its text is the body of the
// response to the client, so it must not change.
var ErrDuplicateID = errors.New("a transaction with this ID is open already")

// request is an open request: it has no final response yet, or still has attempts in flight.
type request struct {
	Request
	client   Client // nil once it has got its response or disconnected
	deadline time.Duration
	attempts []*attempt // by attempt.number
	inFlight int        // attempts that have not ended
}

// PendingCount returns the number of requests that have no final response yet.
func (b *Broker) PendingCount() int { return b.pending }

// Submit submits a request. Unless it returns ErrDuplicateID, the client gets one response, possibly before
// Submit returns.
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

// forBalancer converts the request to the balancer's type, without ID.
func (r *Request) forBalancer() balancer.Request {
	return balancer.Request{Class: r.Class, Tenant: r.Tenant, Timeout: r.Timeout,
		ExpectedWork: r.ExpectedWork, Slots: r.Slots, Memory: r.Memory, Route: r.Route,
		MaxAttempts: r.MaxAttempts, MustFinish: r.MustFinish}
}

// Explain returns, by endpoint name, whether the endpoint is eligible for a request that arrived now, at a
// tier of the request's route, and if not, why. It does not affect later decisions.
func (b *Broker) Explain(r Request, tier int) map[string]balancer.Eligibility {
	out := map[string]balancer.Eligibility{}
	for _, v := range b.balancer.Explain(b.clock.Now(), r.forBalancer(), tier) {
		if e := b.endpoints[v.Worker.ID]; e != nil {
			out[e.name] = v
		}
	}
	return out
}

// ClientDisconnected ends a request whose client has disconnected. The client gets no response.
func (b *Broker) ClientDisconnected(id string) {
	req := b.requests[balancer.RequestID(id)]
	if req == nil || req.client == nil {
		return
	}
	req.client = nil
	b.pending--
	b.run(func() {
		b.balancer.ClientDisconnected(balancer.RequestID(id))
		b.dropFinished(req)
	})
}

// clientIsWaiting reports whether the client is still waiting for the response. If it finds that the client
// has disconnected, it ends the request.
func (b *Broker) clientIsWaiting(req *request) bool {
	if c, ok := req.client.(DisconnectChecker); ok && c.Disconnected() {
		b.ClientDisconnected(req.ID)
	}
	return req.client != nil
}

// respond sends the final response, unless the client has got one or disconnected.
func (b *Broker) respond(req *request, r Response) {
	if client := req.client; client != nil {
		req.client = nil
		b.pending--
		client.Respond(r)
	}
}

// dropFinished deletes a request if its client is no longer waiting and no attempts are in flight.
func (b *Broker) dropFinished(req *request) {
	if req.client == nil && req.inFlight == 0 {
		delete(b.requests, balancer.RequestID(req.ID))
	}
}
