package consensus

import (
	"strings"
	"unicode/utf8"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// proposals are the requests that put something into the log: changes of the configuration, and commands.
type proposals struct {
	replica  *replica
	requests *requestTable
	formats  *formatTracker
}

// Propose requests a change of the configuration. What would be rejected anyway gets its Response at once
// and does not go into the log; at an instance that knows no leader, everything does.
//
// The Response comes when the change is in force, or is not to be; with noWait as soon as it begins to take
// hold, with the code Accepted and the revision that it is to be.
func (i *Instance) Propose(c clusterstate.Change, noWait bool) RequestID {
	q := &request{handler: i.proposals, retryable: true, entryID: c.ID, change: true, noWait: noWait}
	id := i.requests.register(q)
	if err := i.available(); err != nil {
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

// checkFormat rejects changes while the log has a format in which they would take hold unstaged.
func (p *proposals) checkFormat() error {
	if p.replica.state.Format() >= rolloutFormat {
		return nil
	}
	old, silent := p.formats.outdated()
	switch {
	case len(old) > 0:
		// A program that knows no staging would run the change as soon as it is committed.
		return rejectf("%s: runs an older program, which can't make itself ready for a change "+
			"before it takes hold; renew or remove it first", strings.Join(old, ", "))
	case len(silent) > 0:
		return rejectf("%s: not known yet to run a program that can make itself ready for a change "+
			"before it takes hold; try again, or at the leader", strings.Join(silent, ", "))
	}
	return rejectf("the group is about to have changes take hold everywhere at once; try again")
}

// checkChange gives the outcome of a change that is decided without the log.
func (p *proposals) checkChange(c clusterstate.Change) (o clusterstate.Outcome, decided bool) {
	state := p.replica.state
	// An instance that lags may know an older revision than the change was made from. That is no conflict
	// yet; once the change is in the log, all instances decide it alike.
	current := state.CurrentRevision().Number
	if _, known := state.OutcomeOf(c.ID); known || c.BaseRevision <= current || c.Document == nil {
		// Hazard: another change that is pending here may have been withdrawn since, and this one, which is
		// retried, be in the log already. Only the log shows it.
		mayBePending := c.BaseRevision == current && c.Document != nil
		o := state.CheckChange(c)
		if known || o.Code != clusterstate.Accepted && !(mayBePending && o.Code == clusterstate.Conflict) {
			return o, true
		}
	}
	if !utf8.ValidString(c.ID) || !utf8.ValidString(c.Author) || !utf8.ValidString(c.Note) {
		return clusterstate.Outcome{Code: clusterstate.Invalid, Revision: current,
			Problems: []string{"id, author and note must be text"}}, true
	}
	if len(c.Document.Encode()) > clusterstate.MaxDocumentBytes {
		return clusterstate.Outcome{Code: clusterstate.TooLarge, Revision: current}, true
	}
	return clusterstate.Outcome{}, false
}

// ProposeRolloutCommand puts an operator's command into the log: a withdrawal, or the closing of an
// instance's session.
func (i *Instance) ProposeRolloutCommand(c rollout.Command) RequestID {
	return i.proposals.command(c.ID, func() ([]byte, error) { return encodeRolloutCommand(c), nil })
}

// ProposeCommand puts a command of a replicated state machine into the log: a lease holder's, or an
// operator's. The entry must hold the id.
func (i *Instance) ProposeCommand(section string, e *schema.Change, id string) RequestID {
	return i.proposals.command(id, func() ([]byte, error) {
		if err := i.participants.checkSection(section); err != nil {
			return nil, err
		}
		return encodeEntry(e), nil
	})
}

// command proposes the entry that encode gives, if this instance takes part.
func (p *proposals) command(entryID string, encode func() ([]byte, error)) RequestID {
	q := &request{handler: p, retryable: true, entryID: entryID}
	id := p.requests.register(q)
	err := p.replica.available()
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

// submit implements requestHandler. A proposal that Raft drops, say because too much is uncommitted, is
// submitted again later.
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
		// It is in the log, which bounds its time. Hazard: an instance that is partitioned or was removed
		// does not learn of its end, and would wait for ever.
		if s.Lead != raft.None && !p.replica.wasRemoved() {
			q.deadline = max(q.deadline, p.replica.ticks+uint64(p.replica.cfg.RequestTimeoutTicks))
		}
		if p.replica.ticks < q.deadline {
			return inProgress
		}
	}
	if state != nil {
		if o, ok := state.OutcomeOf(q.entryID); ok { // it may have come with a snapshot
			p.requests.respond(q, nil, o)
			return resolved
		}
	}
	return undecided
}

// pendingRevision is the change that a request is about, if it takes hold now.
func (p *proposals) pendingRevision(q *request) (clusterstate.Revision, bool) {
	if p.replica.state == nil || !q.change {
		return clusterstate.Revision{}, false
	}
	pending, ok := p.replica.state.PendingRevision()
	return pending, ok && pending.ChangeID == q.entryID
}
