package consensus

import (
	"slices"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/clusterstate"
)

// RequestID names a request until its Response.
type RequestID uint64

// Response ends a request, once.
type Response struct {
	RequestID RequestID
	Err       error
	Outcome   clusterstate.Outcome // of a proposal
}

// request is pending until its Response.
type request struct {
	id          RequestID
	handler     requestHandler
	deadline    uint64 // tick at which it gets timeoutErr
	timeoutErr  error
	retryable   bool   // it may be submitted to Raft again
	submittedAt uint64 // tick of the last submission
	submittedTo uint64 // the leader then

	// Of a proposal, or a change of the members.
	entryID string // by which its outcome is recognised
	data    []byte // to be submitted again under another leader
	change  bool   // of the configuration, which takes hold in steps; false: a command
	noWait  bool   // it gets its Response once the change begins to take hold

	// Of a read.
	readContext string // by which Raft's ReadState is recognised
	readIndex   uint64 // it waits until that entry is applied; 0: not known yet

	transferee uint64 // of a leader transfer
}

// requestHandler is one kind of request on its way through Raft.
type requestHandler interface {
	// submit hands a request to Raft, for the first time or again. That is safe: a proposal is applied once
	// however often it is in the log, and a read has no effect.
	submit(q *request)
	// resolve sends the Response of a request, if it is decided.
	resolve(q *request, s raft.BasicStatus) resolution
}

// resolution is how far a request has come.
type resolution uint8

const (
	undecided  resolution = iota // it may time out, or be submitted again
	inProgress                   // it is known to be in the log
	resolved                     // it has its Response
)

// requestTable holds the pending requests of an instance.
type requestTable struct {
	replica  *replica
	lastID   RequestID
	pending  []*request
	outcomes []entryOutcome // of the entries of this Ready
}

// entryOutcome is the outcome of an entry by the id of its change or command.
type entryOutcome struct {
	entryID string
	outcome clusterstate.Outcome
}

// register gives a request its id and its deadline.
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

func (t *requestTable) reject(q *request, err error) { t.respond(q, err, clusterstate.Outcome{}) }

// failAll responds to every pending request with an error.
func (t *requestTable) failAll(err error) {
	for _, q := range t.pending {
		t.reject(q, err)
	}
	t.pending = nil
}

func (t *requestTable) recordOutcome(entryID string, o clusterstate.Outcome) {
	t.outcomes = append(t.outcomes, entryOutcome{entryID, o})
}

func (t *requestTable) add(q *request) { t.pending = append(t.pending, q) }

// start makes a request pending and submits it.
func (t *requestTable) start(q *request) {
	t.add(q)
	t.replica.guarded(func() { t.submit(q) })
}

func (t *requestTable) submit(q *request) {
	q.submittedAt, q.submittedTo = t.replica.ticks, t.replica.node.BasicStatus().Lead
	q.handler.submit(q)
}

// evaluate responds to the requests that are decided now, and submits others again.
func (t *requestTable) evaluate() {
	if t.replica.node == nil {
		return
	}
	s := t.replica.node.BasicStatus()
	t.pending = slices.DeleteFunc(t.pending, func(q *request) bool { return t.resolve(q, s) })
	t.outcomes = t.outcomes[:0]
}

// resolve reports whether a request has got its Response.
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
	// Hazard: a request that was submitted to a former leader, or lost on the way, would wait in vain.
	lost := now-q.submittedAt >= uint64(t.replica.cfg.ElectionTicks) || s.Lead != q.submittedTo
	if q.retryable && s.Lead != raft.None && lost && now > q.submittedAt {
		t.submit(q)
	}
	return false
}

// resolveByOutcome resolves a request whose entry was applied in this Ready.
func (t *requestTable) resolveByOutcome(q *request) resolution {
	for _, o := range t.outcomes {
		if o.entryID == q.entryID {
			t.respond(q, nil, o.outcome)
			return resolved
		}
	}
	return undecided
}
