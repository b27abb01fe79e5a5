package consensus

import (
	"slices"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/clusterstate"
)

// RequestID identifies a request and its Response.
type RequestID uint64

// Response is the result of a request. Each request gets exactly one.
type Response struct {
	RequestID RequestID
	Err       error
	Outcome   clusterstate.Outcome // of a proposal or an operation
}

// request is a request that is pending until its Response.
type request struct {
	id          RequestID
	handler     requestHandler
	deadline    uint64 // tick at which the request fails with timeoutErr
	timeoutErr  error
	retryable   bool   // may be submitted to Raft again
	submittedAt uint64 // tick of the last submission
	submittedTo uint64 // leader at the last submission

	// Of a proposal or a membership change.
	entryID      string // matches the request with the outcome of its entry
	data         []byte // of the entry, for repeated submissions
	configChange bool   // a configuration change, which is staged before it is in force; false: a command
	noWait       bool   // respond as soon as the change is pending

	// Of a read.
	readContext string // matches the request with its raft.ReadState
	readIndex   uint64 // index that must be applied before the Response; 0: not known yet

	transferee uint64 // of a leader transfer
}

// requestHandler submits and resolves one kind of request.
type requestHandler interface {
	// submit submits a request to Raft, possibly repeatedly. Repeating is safe: a proposal is applied only
	// once even if the log contains it several times, and a read changes nothing.
	submit(q *request)
	// resolve emits the Response of a request if it is decided.
	resolve(q *request, s raft.BasicStatus) resolution
}

// resolution is the progress of a request.
type resolution uint8

const (
	undecided  resolution = iota // may time out or be submitted again
	inProgress                   // known to be in the log
	resolved                     // has its Response
)

// requestTable holds the pending requests of an instance.
type requestTable struct {
	replica  *replica
	lastID   RequestID
	pending  []*request
	outcomes []entryOutcome // of the entries applied since the last evaluate
}

// entryOutcome is the outcome of an applied entry, which the id of its change or command identifies.
type entryOutcome struct {
	entryID string
	outcome clusterstate.Outcome
}

// register assigns a request its id and its deadline.
func (t *requestTable) register(q *request) RequestID {
	t.lastID++
	q.id = t.lastID
	q.deadline = t.replica.ticks + uint64(t.replica.cfg.RequestTimeoutTicks)
	if q.timeoutErr == nil {
		q.timeoutErr = ErrOutcomeUnknown
	}
	return q.id
}

func (t *requestTable) respond(q *request, err error, o clusterstate.Outcome) {
	t.replica.out.Responses = append(t.replica.out.Responses, Response{RequestID: q.id, Err: err, Outcome: o})
}

// reject responds to a request with an error.
func (t *requestTable) reject(q *request, err error) { t.respond(q, err, clusterstate.Outcome{}) }

// failAll responds to every pending request with an error.
func (t *requestTable) failAll(err error) {
	for _, q := range t.pending {
		t.reject(q, err)
	}
	t.pending = nil
}

// recordOutcome records the outcome of an applied entry for the next evaluate.
func (t *requestTable) recordOutcome(entryID string, o clusterstate.Outcome) {
	t.outcomes = append(t.outcomes, entryOutcome{entryID, o})
}

func (t *requestTable) add(q *request) { t.pending = append(t.pending, q) }

// start adds a request to the pending ones and submits it.
func (t *requestTable) start(q *request) {
	t.add(q)
	t.replica.haltOnPanic(func() { t.submit(q) })
}

func (t *requestTable) submit(q *request) {
	q.submittedAt, q.submittedTo = t.replica.ticks, t.replica.node.BasicStatus().Lead
	q.handler.submit(q)
}

// evaluate responds to the requests that are decided or have timed out, and submits lost requests again.
func (t *requestTable) evaluate() {
	if t.replica.node == nil {
		return
	}
	s := t.replica.node.BasicStatus()
	t.pending = slices.DeleteFunc(t.pending, func(q *request) bool { return t.resolve(q, s) })
	t.outcomes = t.outcomes[:0]
}

// resolve responds to a request if it is decided or has timed out, and reports whether it did.
func (t *requestTable) resolve(q *request, s raft.BasicStatus) bool {
	switch q.handler.resolve(q, s) {
	case resolved:
		return true
	case inProgress:
		return false
	}
	now := t.replica.ticks
	if now >= q.deadline {
		t.reject(q, q.timeoutErr)
		return true
	}
	// A request that was submitted to a former leader or lost in transit would otherwise never be decided.
	lost := now-q.submittedAt >= uint64(t.replica.cfg.ElectionTicks) || s.Lead != q.submittedTo
	if q.retryable && s.Lead != raft.None && lost && now > q.submittedAt {
		t.submit(q)
	}
	return false
}

// resolveByOutcome resolves a request whose entry was applied since the last evaluate.
func (t *requestTable) resolveByOutcome(q *request) resolution {
	for _, o := range t.outcomes {
		if o.entryID == q.entryID {
			t.respond(q, nil, o.outcome)
			return resolved
		}
	}
	return undecided
}
