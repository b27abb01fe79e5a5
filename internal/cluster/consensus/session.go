package consensus

import (
	"encoding/binary"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// sessions are an instance's part in the rollout: its own lease, and as leader those of all.
type sessions struct {
	now    time.Duration
	holder *rollout.LeaseHolder
	leader *rollout.Leader // nil unless it leads, and has applied an entry of its term
	lead   uint64          // to whom was reported last
	met    bool            // it has heard from a leader since it started

	// Reports that wait until it is sure, by word of a majority that came after them, that this
	// instance leads still.
	waiting map[uint64]rollout.Report
	asked   map[uint64]rollout.Report // covered by the read that is under way
	read    string                    // of that read
	readAt  uint64                    // ticks
	reads   uint64
	index   uint64 // asked is to be answered once so much is applied; 0: the read is under way

	formats map[uint64]uint32 // the newest that each instance reads, as it says itself
	entered uint64            // ticks, when format 2 was asked for
	permit  rollout.Permit    // as told last
	told    bool
	staging string // the change that the fronts have been asked to be ready for

	seats seats
	parts []subjectPart
	away  bool            // this instance is about to end
	aways map[uint64]bool // which members have said so, for the leader
}

// SetClock tells the time before an input: on a clock that goes on while the process, or the
// machine, stands still, and that nobody sets.
func (i *Instance) SetClock(now time.Duration) { i.ses.now = max(i.ses.now, now) }

// ReportStaged says that the fronts are ready to switch to a change, or why they can't.
func (i *Instance) ReportStaged(change string, problems []string) {
	i.ses.holder.SetStaged(change, problems)
	i.sessions()
}

// ReportAdmissionClosed says that the fronts have ceased to admit for a change.
func (i *Instance) ReportAdmissionClosed(change string, attempt int) {
	i.ses.holder.SetAdmissionClosed(change, attempt)
	i.sessions()
}

// ReportRunningRevision says which revision the fronts run.
func (i *Instance) ReportRunningRevision(revision uint64) { i.ses.holder.SetRunningRevision(revision) }

// ObserveFormat says which format an instance reads, by its own word.
func (i *Instance) ObserveFormat(member uint64, format uint32) {
	if len(i.ses.formats) < 1024 {
		i.ses.formats[member] = format
	}
}

// StepSession takes another instance's word on sessions.
func (i *Instance) StepSession(from uint64, m *schema.SessionMessage) error {
	if i.rn == nil || i.state == nil {
		return ErrNoGroup
	}
	if i.halted != nil {
		return i.halted
	}
	if r := m.Report; r != nil {
		if i.state.WasRemoved(from) {
			return ErrRemoved
		}
		if r.Nonce == 0 {
			return fmt.Errorf("a report of no life of an instance")
		}
		i.reported(rollout.Report{Member: from, Incarnation: r.Nonce, Epoch: r.Epoch,
			RequestedAt:  time.Duration(r.AskedNs),
			StagedChange: r.Staged, Problems: r.Refused, AdmissionClosedFor: r.Closed,
			Attempt:         int(r.Attempt),
			RunningRevision: r.Running})
		i.heardOf(from, r)
	}
	if g := m.Grant; g != nil {
		if g.AskedNs > int64(i.ses.now) {
			return fmt.Errorf("a lease that was asked for in the time to come")
		}
		i.granted(g)
	}
	i.sessions()
	return nil
}

func (i *Instance) reported(r rollout.Report) {
	if i.ses.leader == nil {
		return // who asks will ask again
	}
	i.ses.leader.ObserveReport(i.ses.now, r)
	i.ses.waiting[r.Member] = r
}

// policy is how changes take hold now.
func (i *Instance) policy() rollout.Policy {
	return i.state.RolloutPolicy().WithDefaults(i.cfg.TickInterval)
}

// sessions does what follows from the last input.
func (i *Instance) sessions() {
	if i.rn == nil || i.state == nil || i.halted != nil {
		return
	}
	i.guarded(func() {
		s := i.rn.BasicStatus()
		i.ses.met = i.ses.met || s.Lead != raft.None
		i.takeLead(s)
		if i.state.Format() < clusterstate.LatestFormat {
			i.enter()
		}
		if i.state.Format() > 1 {
			i.ses.holder.ObserveState(i.state.Rollout())
			i.report(s)
			if i.ses.leader != nil {
				i.confirm()
				i.judge()
			}
		} else if i.ses.met {
			i.ses.holder.SetUnleased()
		}
		i.tellPermit()
		i.actSubjects()
		i.tellStanding()
		i.stage()
	})
}

// takeLead begins and ends the leader's side.
func (i *Instance) takeLead(s raft.BasicStatus) {
	x := &i.ses
	leads := s.RaftState == raft.StateLeader && i.appliedTerm == s.GetTerm()
	switch {
	case !leads && x.leader != nil:
		x.leader = nil
		for _, p := range x.parts {
			p.part.BecomeLeader(x.now, 0)
		}
		clear(x.waiting)
		x.asked, x.read, x.index = nil, "", 0
	case leads && (x.leader == nil || x.leader.Term() != s.GetTerm()):
		x.leader = rollout.NewLeader(x.now, s.GetTerm())
		for _, p := range x.parts {
			p.part.BecomeLeader(x.now, s.GetTerm())
		}
		clear(x.waiting)
		x.asked, x.read, x.index = nil, "", 0
		x.holder.ReportNow()
	}
}

// report tells the leader how this instance stands, when it is time.
func (i *Instance) report(s raft.BasicStatus) {
	x := &i.ses
	if s.Lead == raft.None || i.gone() {
		return
	}
	if x.lead != s.Lead {
		x.lead = s.Lead
		x.holder.ReportNow()
	}
	if s.Lead == i.identity.Id && x.leader == nil {
		return
	}
	r, due := x.holder.NextReport(x.now, i.policy())
	if !due {
		return
	}
	m := &schema.SessionReport{
		Nonce:   r.Incarnation,
		Epoch:   r.Epoch,
		AskedNs: int64(r.RequestedAt),
		Staged:  r.StagedChange,
		Refused: r.Problems,
		Closed:  r.AdmissionClosedFor,
		Attempt: int64(r.Attempt),
		Running: r.RunningRevision,
		Away:    x.away,
	}
	for _, p := range x.parts {
		p.part.FillReport(i.view(p), m)
	}
	if s.Lead == i.identity.Id {
		i.reported(r)
		i.heardOf(i.identity.Id, m)
		return
	}
	i.say(s.Lead, &schema.SessionMessage{Report: m})
}

func (i *Instance) say(to uint64, m *schema.SessionMessage) {
	i.out.SessionMessages = append(i.out.SessionMessages, SessionMessage{to, m})
}

// granted takes a lease, from a leader that had applied the log so far.
func (i *Instance) granted(m *schema.SessionGrant) {
	x := &i.ses
	g := rollout.Grant{
		Epoch:       m.Epoch,
		RequestedAt: time.Duration(m.AskedNs),
		Duration:    time.Duration(m.ForNs),
	}
	x.holder.ObserveGrant(g)
	x.seats.right.ObserveGrant(g.Epoch, g.RequestedAt, g.Duration, m.Applied, i.applied)
	for _, p := range x.parts {
		p.part.ObserveGrant(x.now, m, i.applied)
	}
}

// confirm asks a majority whether this instance leads still, and answers the reports that came
// before the question.
func (i *Instance) confirm() {
	x := &i.ses
	if x.index > 0 && i.applied >= x.index {
		for _, member := range i.state.Members() {
			r, ok := x.asked[member.ID]
			if !ok {
				continue
			}
			lease := x.leader.Grant(x.now, r, i.state.Rollout(), i.policy())
			g := &schema.SessionGrant{Epoch: lease.Epoch, AskedNs: int64(lease.RequestedAt),
				ForNs: int64(lease.Duration), Applied: i.applied}
			for _, p := range x.parts {
				p.part.FillGrant(i.view(p), member.ID, g)
			}
			if member.ID == i.identity.Id {
				i.granted(g)
			} else {
				i.say(member.ID, &schema.SessionMessage{Grant: g})
			}
		}
		x.asked, x.read, x.index = nil, "", 0
	}
	// A question that is lost is asked again, for what has come since as well.
	lost := x.read != "" && x.index == 0 && i.ticks-x.readAt > 1
	// At most one a tick: each costs a message to every member and back.
	if (x.read != "" && !lost) || len(x.waiting) == 0 && !lost || i.ticks == x.readAt {
		return
	}
	if x.asked == nil {
		x.asked = map[uint64]rollout.Report{}
	}
	for id, r := range x.waiting {
		x.asked[id] = r
	}
	clear(x.waiting)
	x.reads++
	b := append([]byte("lease"), binary.BigEndian.AppendUint64(nil, i.identity.Id)...)
	b = binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, i.ses.holder.Incarnation()), x.reads)
	x.read, x.readAt, x.index = string(b), i.ticks, 0
	i.rn.ReadIndex(b)
}

// judge has the leader's side decide what is to be decided.
func (i *Instance) judge() {
	x := &i.ses
	names := map[uint64]string{}
	for _, m := range i.state.Members() {
		names[m.ID] = m.Name
	}
	for _, c := range x.leader.Evaluate(x.now, i.state.Rollout(), i.policy(), names) {
		if c.Kind == rollout.Commit && i.cfg.WallClock != nil {
			c.AtMS = i.cfg.WallClock().UnixMilli()
		}
		_ = i.rn.Propose(encodeCommand(c)) // dropped, it is asked for again
	}
	i.judgeSubjects()
}

// enter asks for the newest format, once every instance is known to read it.
func (i *Instance) enter() {
	if i.ses.leader == nil || len(i.unable()) > 0 || i.ticks-i.ses.entered < uint64(i.cfg.ElectionTicks) {
		return
	}
	i.ses.entered = i.ticks
	_ = i.rn.Propose(encode(&schema.Change{Format: clusterstate.LatestFormat, Enter: true}))
}

// unable names the members that are not known to read the newest format.
func (i *Instance) unable() []string {
	old, silent := i.olderOnes()
	return append(old, silent...)
}

// olderOnes names the members that have said that they read an older format, and those that have
// said nothing here: instances that don't lead seldom hear of each other.
func (i *Instance) olderOnes() (old, silent []string) {
	for _, m := range i.state.Members() {
		format, heard := i.ses.formats[m.ID]
		switch {
		case m.ID == i.identity.Id || format >= clusterstate.LatestFormat:
		case heard:
			old = append(old, m.Name)
		default:
			silent = append(silent, m.Name)
		}
	}
	return old, silent
}

// tellPermit tells the fronts whether they may admit, when that has changed.
func (i *Instance) tellPermit() {
	x := &i.ses
	revision := i.state.CurrentRevision().Number
	p := rollout.Permit{Revision: revision}
	switch {
	case i.gone():
		p.ClosedReason = ErrRemoved.Error()
	case i.state.Format() > 1:
		p = x.holder.Permit(i.state.Rollout(), revision, i.policy())
	case x.met:
		p.Open, p.NoExpiry = true, true
	default:
		p.ClosedReason = "this instance has not heard from its group since it started"
	}
	if x.told && p == x.permit {
		return
	}
	x.told, x.permit = true, p
	i.out.Permit = &p
}

// stage has the fronts be made ready for a change.
func (i *Instance) stage() {
	r, ok := i.state.PendingRevision()
	if !ok {
		i.ses.staging = ""
		return
	}
	if i.ses.staging == r.ChangeID {
		return
	}
	i.ses.staging = r.ChangeID
	i.out.Stage = &r
}

func (i *Instance) applyCommand(m *schema.Command) {
	c := rollout.Command{Kind: rollout.Kind(m.Kind), ID: m.Id, Term: m.Term, Change: m.Change,
		Attempt: int(m.Attempt), Member: m.Member, Name: m.Name, Incarnation: m.Nonce, Reason: m.Reason,
		AtMS: m.AtMs}
	for _, s := range m.Seats {
		c.Sessions = append(c.Sessions, rollout.SessionID{Member: s.Member, Epoch: s.Epoch})
	}
	// Hazard: a leader that has been deposed between its look and its word hands the word on to
	// the next one, which may have granted since what the word counts as over.
	if c.Kind.LeaderDecision() && c.Term != i.appliedTerm {
		return
	}
	if c.Kind == rollout.OpenSession {
		if _, ok := i.state.Member(c.Member); !ok {
			return
		}
	}
	o, decided := i.state.ApplyRollout(c)
	if c.ID != "" {
		i.outcome = append(i.outcome, outcome{c.ID, o})
	}
	if decided != "" {
		if known, ok := i.state.OutcomeOf(decided); ok {
			i.outcome = append(i.outcome, outcome{decided, known})
		}
	}
	i.tell()
}

func encodeCommand(c rollout.Command) []byte {
	m := &schema.Command{Kind: uint32(c.Kind), Id: c.ID, Term: c.Term, Change: c.Change,
		Attempt: int64(c.Attempt),
		Member:  c.Member, Name: c.Name, Nonce: c.Incarnation, Reason: c.Reason, AtMs: c.AtMS}
	for _, s := range c.Sessions {
		m.Seats = append(m.Seats, &schema.Seat{Member: s.Member, Epoch: s.Epoch})
	}
	return encode(&schema.Change{Format: 2, Command: m})
}

func encode(m *schema.Change) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // a text that is not UTF-8 was refused before
	}
	return b
}

// ProposeRolloutCommand puts an operator's word into the log: a withdrawal, or an instance set aside.
func (i *Instance) ProposeRolloutCommand(c rollout.Command) RequestID {
	r := &request{kind: proposing, id: c.ID, command: true}
	ticket := i.admit(r)
	if err := i.unfit(); err != nil {
		i.answer(r, err, clusterstate.Outcome{})
		return ticket
	}
	r.data = encodeCommand(c)
	i.waiting = append(i.waiting, r)
	i.guarded(func() { i.try(r) })
	return ticket
}

// RolloutStatus is how sessions and the pending change stand, as far as this instance knows.
type RolloutStatus struct {
	Format           int
	Policy           rollout.Policy
	Permit           rollout.Permit
	LeaseRemaining   time.Duration
	SessionEpoch     uint64
	Staged           string
	Pending          *clusterstate.Revision
	PendingPhase     rollout.PendingChange
	AwaitedMembers   map[string]time.Duration // known to the leader only
	Sessions         []rollout.Session
	RunningRevisions map[uint64]uint64 // by member; known to the leader only
	StagedChanges    map[uint64]string // the change that each has staged; likewise
}

func (i *Instance) rollout() RolloutStatus {
	var out RolloutStatus
	if i.state == nil {
		return out
	}
	x := &i.ses
	out = RolloutStatus{
		Format: i.state.Format(),
		Policy: i.policy(),
		Permit: x.permit,
		LeaseRemaining: x.holder.LeaseRemaining(x.now,
			i.policy()),
		SessionEpoch: x.holder.Epoch(),
		Staged:       x.holder.StagedChange(),
		Sessions:     i.state.Rollout().List(),
	}
	if r, ok := i.state.PendingRevision(); ok {
		out.Pending, out.PendingPhase = &r, *i.state.Rollout().Pending
	}
	if x.leader != nil {
		out.AwaitedMembers = x.leader.AwaitedMembers(x.now, i.state.Rollout(), i.policy())
		out.RunningRevisions, out.StagedChanges = x.leader.LatestReports()
	}
	return out
}
