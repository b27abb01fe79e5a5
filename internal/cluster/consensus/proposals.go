package consensus

import (
	"strings"
	"unicode/utf8"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// proposals handles the requests that append an entry to the log: configuration changes and commands.
type proposals struct {
	replica  *replica
	requests *requestTable
	formats  *formatTracker
}

// Propose requests a configuration change. A change that would certainly be rejected gets its Response
// immediately and is not appended to the log. An instance that knows no leader responds with an error.
//
// The Response comes once the change is in force or has failed. With noWait it comes as soon as the change is
// pending, with the code Accepted and the number that its revision will have.
func (i *Instance) Propose(c clusterstate.Change, noWait bool) RequestID {
	q := &request{handler: i.proposals, retryable: true, entryID: c.ID, configChange: true, noWait: noWait}
	id := i.requests.register(q)
	if err := i.checkAvailable(); err != nil {
		i.requests.reject(q, err)
		return id
	}
	if err := i.proposals.checkFormat(); err != nil {
		i.requests.reject(q, err)
		return id
	}
	if o, decided := i.proposals.checkChange(c); decided {
		i.requests.respond(q, nil, o)
		return id
	}
	q.data = encodeChange(c, i.state.Format())
	i.requests.start(q)
	return id
}

// checkFormat rejects changes while the log has a format without staging.
func (p *proposals) checkFormat() error {
	if p.replica.state.Format() >= rolloutFormat {
		return nil
	}
	old, unreported := p.formats.outdated()
	switch {
	case len(old) > 0:
		// A program without staging would apply the change as soon as it is committed.
		return rejectf("%s: runs an older program, which can't stage a change before it takes effect; "+
			"upgrade or remove it first", strings.Join(old, ", "))
	case len(unreported) > 0:
		return rejectf("%s: has not reported yet that its program can stage a change before it takes "+
			"effect; try again, or propose the change at the leader", strings.Join(unreported, ", "))
	}
	return rejectf("the group is upgrading to a log format with staged changes; try again")
}

// checkChange returns the outcome of a change if it can be decided without the log.
func (p *proposals) checkChange(c clusterstate.Change) (o clusterstate.Outcome, decided bool) {
	state := p.replica.state
	// The change may be based on a newer revision than a lagging instance has applied. That is not a
	// conflict: once the change is in the log, all instances reach the same decision.
	current := state.CurrentRevision().Number
	if _, known := state.OutcomeOf(c.ID); known || c.BaseRevision <= current || c.Document == nil {
		// Another change that is pending here may have been withdrawn since, and this change, if it is a
		// retry, may be in the log already. Only the log can decide such a conflict.
		mayBePending := c.BaseRevision == current && c.Document != nil
		o := state.CheckChange(c)
		if known || o.Code != clusterstate.Accepted && !(mayBePending && o.Code == clusterstate.Conflict) {
			return o, true
		}
	}
	if !utf8.ValidString(c.ID) || !utf8.ValidString(c.Author) || !utf8.ValidString(c.Note) {
		return clusterstate.Outcome{Code: clusterstate.Invalid, Revision: current,
			Problems: []string{"id, author and note must be valid UTF-8"}}, true
	}
	if len(c.Document.Encode()) > clusterstate.MaxDocumentBytes {
		return clusterstate.Outcome{Code: clusterstate.TooLarge, Revision: current}, true
	}
	return clusterstate.Outcome{}, false
}

// ProposeRolloutCommand proposes an operator's rollout command: the withdrawal of a change, or the closing of
// an instance's session.
func (i *Instance) ProposeRolloutCommand(c rollout.Command) RequestID {
	return i.proposals.command(c.ID, func() ([]byte, error) { return encodeRolloutCommand(c), nil })
}

// ProposeCommand proposes a command of a replicated state machine, from a lease holder or an operator. The
// entry must contain the id.
func (i *Instance) ProposeCommand(section string, e *schema.Change, id string) RequestID {
	return i.proposals.command(id, func() ([]byte, error) {
		if err := i.participants.checkSection(section); err != nil {
			return nil, err
		}
		return encodeEntry(e), nil
	})
}

// command proposes the entry that encode returns, if this instance is available.
func (p *proposals) command(entryID string, encode func() ([]byte, error)) RequestID {
	q := &request{handler: p, retryable: true, entryID: entryID}
	id := p.requests.register(q)
	err := p.replica.checkAvailable()
	if err == nil {
		q.data, err = encode()
	}
	if err != nil {
		p.requests.reject(q, err)
		return id
	}
	p.requests.start(q)
	return id
}

// submit implements requestHandler. A proposal that Raft drops, for example because too many bytes are
// uncommitted, is submitted again later.
func (p *proposals) submit(q *request) { _ = p.replica.node.Propose(q.data) }

// resolve implements requestHandler.
func (p *proposals) resolve(q *request, s raft.BasicStatus) resolution {
	if p.requests.resolveByOutcome(q) == resolved {
		return resolved
	}
	state := p.replica.state
	if pending, ok := p.pendingRevision(q); ok {
		if q.noWait {
			p.requests.respond(q, nil,
				clusterstate.Outcome{Code: clusterstate.Accepted, Revision: pending.Number})
			return resolved
		}
		// The change is in the log and will be decided, so the deadline is extended. An instance that is
		// partitioned or was removed does not learn the decision; extending its deadline would make the
		// request wait forever.
		if s.Lead != raft.None && !p.replica.wasRemoved() {
			q.deadline = max(q.deadline, p.replica.ticks+uint64(p.replica.cfg.RequestTimeoutTicks))
		}
		if p.replica.ticks < q.deadline {
			return inProgress
		}
	}
	if state != nil {
		if o, ok := state.OutcomeOf(q.entryID); ok { // the outcome may have arrived in a snapshot
			p.requests.respond(q, nil, o)
			return resolved
		}
	}
	return undecided
}

// pendingRevision returns the pending revision if it is the change that the request proposed.
func (p *proposals) pendingRevision(q *request) (clusterstate.Revision, bool) {
	if p.replica.state == nil || !q.configChange {
		return clusterstate.Revision{}, false
	}
	pending, ok := p.replica.state.PendingRevision()
	return pending, ok && pending.ChangeID == q.entryID
}
