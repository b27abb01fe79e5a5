package leasedtask

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/cluster/rollingrestart"
	"moorstack/internal/schema"
)

// Type has a group agree on its duties.
type Type struct{}

var _ replicated.StateMachineType = Type{}

// Section implements subject.Subject.
func (Type) Section() string { return Section }

// SinceFormat implements subject.Subject.
func (Type) SinceFormat() int { return 3 }

// Validate implements subject.Subject.
func (Type) Validate(t replicated.Config) []string {
	_, wrong := ParsePolicy(t.Values, t.Format)
	return wrong
}

// OwnsEntry implements subject.Subject.
func (Type) OwnsEntry(e *schema.Change) bool { return e.Duty != nil }

// NewStateMachine implements subject.Subject.
func (Type) NewStateMachine(after uint64) replicated.StateMachine {
	return &StateMachine{State: NewState(after)}
}

// NewParticipant implements subject.Subject.
func (Type) NewParticipant(o replicated.LocalInfo) replicated.Participant {
	return &part{wall: o.WallClock, labels: o.Labels, words: map[uint64][]string{}}
}

// StateMachine is the State as a subject's.
type StateMachine struct {
	*State
	Specs []Spec // of the document in force
}

// Configure implements subject.State.
func (a *StateMachine) Configure(t replicated.Config) {
	p, _ := ParsePolicy(t.Values, t.Format)
	a.Specs = p.Specs()
}

// SetOwners implements subject.State: a duty has a holder, and no owner.
func (a *StateMachine) SetOwners([]placement.Member) {}

// SessionsExpired implements subject.State.
func (a *StateMachine) SessionsExpired(over func(placement.Session) bool, why string, atMS int64) {
	a.State.SessionsExpired(func(h Session) bool { return over(placement.Session(h)) }, why, atMS)
}

// Snapshot implements subject.State.
func (a *StateMachine) Snapshot() []replicated.SnapshotField {
	return []replicated.SnapshotField{
		{Name: "duties", Value: a.List()},
		{Name: "number", Value: a.LastFencingToken},
	}
}

// Restore implements subject.State.
func (a *StateMachine) Restore(read func(string, any) (bool, error)) error {
	var list []*Task
	_, bad := read("duties", &list)
	_, worse := read("number", &a.LastFencingToken)
	if err := errors.Join(bad, worse); err != nil {
		return err
	}
	for _, d := range list {
		if d == nil || d.FencingToken > a.LastFencingToken || len(d.Note) > MaxNoteBytes {
			return errors.New("a duty that can't be")
		}
		a.Tasks[d.Name] = d
	}
	return nil
}

// Decode implements subject.State.
func (a *StateMachine) Decode(e *schema.Change) (w replicated.Command, ok bool) {
	m := e.Duty
	if m == nil {
		return w, false
	}
	c := Command{Kind: Kind(m.Kind), ID: m.Id, Term: m.Term, Task: m.Duty, Tasks: m.Names,
		Session: Session{
			Member: m.Member,
			Epoch:  m.Epoch,
		}, Name: m.Name, FencingToken: m.Number, TransferTo: m.To,
		NoteRevision: m.Turn, Failed: m.Failed, Reason: m.Reason, AtMS: m.AtMs}
	if m.Noted {
		c.Note = append([]byte{}, m.Note...)
	}
	return replicated.Command{ID: c.ID, Term: c.Term,
		// A holder's words are many, and harmless when they come again: only operators' are remembered.
		RememberOutcome: c.Kind >= Transfer,
		LeaderDecision:  c.Term != 0 || c.Kind.LeaderDecision(),
		Apply: func(open func(placement.Session) bool) error {
			return a.Apply(c, func(h Session) bool { return open(placement.Session(h)) })
		}}, true
}

// EncodeCommand writes a command as it stands in the log.
func EncodeCommand(c Command) *schema.Change {
	return &schema.Change{Format: 3, Duty: &schema.DutyCommand{Kind: uint32(c.Kind), Id: c.ID,
		Term: c.Term, Duty: c.Task, Names: c.Tasks, Member: c.Session.Member, Epoch: c.Session.Epoch,
		Name:   c.Name,
		Number: c.FencingToken, Note: c.Note, Noted: c.Note != nil, To: c.TransferTo, Turn: c.NoteRevision,
		Failed: c.Failed,
		Reason: c.Reason, AtMs: c.AtMS}}
}

// part is an instance's: what it holds itself, and as leader who is to hold what.
type part struct {
	replicated.NoopParticipant
	holder LeaseClock
	leader *Assigner
	last   []Lease // as told last
	noted  PlanChanged
	doubts Suspicions
	wall   func() time.Time
	labels []string
	words  map[uint64][]string // the labels that members have named, for the leader
}

var _ replicated.OperatorControlled = (*part)(nil)

func (p *part) BecomeLeader(now time.Duration, term uint64) {
	if p.leader = nil; term != 0 {
		p.leader = NewAssigner(now, term)
	}
}

func (p *part) FillReport(_ replicated.InstanceView, r *schema.SessionReport) { r.Labels = p.labels }

func (p *part) ObserveReport(_ time.Duration, member uint64, r *schema.SessionReport) {
	if len(p.words) > 1024 {
		clear(p.words)
	}
	p.words[member] = r.Labels
}

// FillGrant names the entry that a member's state must have for a lease granted now to count for duties; 0:
// it does not.
func (p *part) FillGrant(v replicated.InstanceView, member uint64, g *schema.SessionGrant) {
	if p.leader.CanGrant(member, v.StateMachine.(*StateMachine).State) {
		g.Index = v.AppliedIndex
	}
}

func (p *part) ObserveGrant(_ time.Duration, g *schema.SessionGrant, applied uint64) {
	p.holder.ObserveGrant(g.Epoch, time.Duration(g.AskedNs), time.Duration(g.ForNs), g.Index, applied)
}

func (p *part) LeaderCommands(v replicated.InstanceView) (words []*schema.Change) {
	s := v.StateMachine.(*StateMachine)
	look := ClusterView{Now: v.Now, Lease: v.LeaseDuration, Specs: s.Specs, LeaseExpired: v.Group.Expired}
	if len(s.Specs) == 0 && len(s.Tasks) == 0 {
		return nil
	}
	for _, m := range v.Group.Members() {
		look.Members = append(look.Members, p.member(v, m))
	}
	for _, c := range p.leader.Evaluate(s.State, look) {
		if p.wall != nil {
			c.AtMS = p.wall().UnixMilli()
		}
		words = append(words, EncodeCommand(c))
	}
	return words
}

// Suspicions are the members that are believed not to be there, or to be ill. They are given a duty after all
// others. Hazard: a belief may be wrong of everybody, and bars nobody. Who holds a duty keeps it: that it has
// ended only its lease says.
type Suspicions struct {
	Sequence uint64 // grows with each word: one that was said before may come after it
	Members  map[uint64]bool
}

// Receive takes whom to doubt.
func (p *part) Receive(_ replicated.InstanceView, word any) {
	if d, ok := word.(Suspicions); ok && d.Sequence > p.doubts.Sequence {
		p.doubts = d
	}
}

// member is a member as the duties' judgement sees it.
func (p *part) member(v replicated.InstanceView, m replicated.Member) Member {
	return Member{
		Session:   Session(m.Session),
		Name:      m.Name,
		Healthy:   m.Healthy,
		Suspected: p.doubts.Members[m.Session.Member],
		Departing: v.Group.Departing(m.Session.Member),
		Labels:    p.words[m.Session.Member],
	}
}

// PlanChanged is that a plan of rolling restarts was noted: it is for all instances to read, and not for who
// holds the duty alone.
type PlanChanged struct {
	NoteRevision uint64 // 0: there is none
	Member       uint64 // the member number of who is told
	Incarnation  uint64 // of its process
	Note         []byte
}

// Advance tells what this instance holds, and what was noted for all, when that has changed.
func (p *part) Advance(v replicated.InstanceView) (told []any, _ []*schema.Change) {
	told = p.plan(v)
	p.holder.ObserveApplied(v.AppliedIndex)
	var held []Lease
	if v.Session.Epoch != 0 {
		held = p.holder.HeldLeases(v.StateMachine.(*StateMachine).State, Session(v.Session), v.LeaseDuration)
	}
	if len(held) == 0 && len(p.last) == 0 || reflect.DeepEqual(held, p.last) {
		return told, nil
	}
	p.last = held
	return append(told, held), nil
}

func (p *part) plan(v replicated.InstanceView) []any {
	d := v.StateMachine.(*StateMachine).Tasks[RollingRestartTask]
	if d == nil || d.NoteRevision == p.noted.NoteRevision {
		return nil
	}
	p.noted = PlanChanged{
		NoteRevision: d.NoteRevision,
		Member:       v.MemberID,
		Incarnation:  v.Incarnation,
		Note:         d.Note,
	}
	return []any{p.noted}
}

// CommandFor puts an operator's wish into words, where it can be met.
func (p *part) CommandFor(
	v replicated.InstanceView,
	op *schema.Operation,
	id string,
) (*schema.Change, bool, error) {
	c := Command{ID: id, Task: op.Name, Name: op.Author}
	s := v.StateMachine.(*StateMachine)
	d := s.Tasks[op.Name]
	switch op.Kind {
	case schema.Operation_PAUSE:
		c.Kind = Pause
	case schema.Operation_RESUME:
		c.Kind = Resume
	case schema.Operation_HAND_ON:
		c.Kind, c.Reason = Transfer, "handed on by "+op.Author
		if d != nil {
			c.FencingToken = d.FencingToken
		}
		if op.By != "" && d != nil {
			m, ok := p.named(v, op.By)
			if !ok {
				return nil, true, fmt.Errorf("the group has no instance %q", op.By)
			}
			if d.Holder.Member == m.Session.Member {
				return nil, true, fmt.Errorf("%s holds %s", op.By, op.Name)
			}
			spec := Spec{Name: op.Name}
			for _, x := range s.Specs {
				if x.Name == op.Name {
					spec = x
				}
			}
			if err := CheckEligible(m, spec); err != nil {
				return nil, true, fmt.Errorf("%s can't hold %s: %v", op.By, op.Name, err)
			}
			c.TransferTo = m.Session.Member
		}
	case schema.Operation_ROLL, schema.Operation_ROLL_STOP, schema.Operation_ROLL_RESUME,
		schema.Operation_ROLL_UNDO:
		c.Task = RollingRestartTask
		if err := p.roll(v, op, &c); err != nil {
			return nil, true, err
		}
	default:
		return nil, false, nil
	}
	return EncodeCommand(c), true, nil
}

// roll puts a wish of rolling restarts into the plan that is noted. Both are words under the holder's number,
// and in the place of the note that was read: of two at the same time one is void.
func (p *part) roll(v replicated.InstanceView, op *schema.Operation, c *Command) error {
	d := v.StateMachine.(*StateMachine).Tasks[RollingRestartTask]
	switch {
	case d == nil:
		return fmt.Errorf("the configuration has no conductor: say roll = \"on\" in the section %q", Section)
	case !d.IsHeld():
		return fmt.Errorf("nobody conducts at this moment; ask again")
	}
	plan, err := rollingrestart.DecodePlan(d.Note)
	if err != nil {
		return err
	}
	switch op.Kind {
	case schema.Operation_ROLL_STOP:
		plan, err = rollingrestart.Stop(plan)
	case schema.Operation_ROLL_RESUME:
		plan, err = rollingrestart.Resume(plan)
	case schema.Operation_ROLL_UNDO:
		plan, err = rollingrestart.Undo(plan)
	default:
		var members []rollingrestart.Member
		for _, m := range v.Group.Members() {
			one := rollingrestart.Member{ID: m.Session.Member, Name: m.Name, Voter: m.Voter}
			for _, l := range p.words[m.Session.Member] {
				if zone, ok := strings.CutPrefix(l, ZoneLabelPrefix); ok {
					one.Zone = zone
				}
			}
			members = append(members, one)
		}
		plan, err = rollingrestart.Start(
			plan,
			rollingrestart.Options{Author: op.Author, MaxUnavailable: int(op.Out),
				Timeout: time.Duration(op.WithinNs), AllowLastInZone: op.Alone, Instances: op.Only},
			members,
		)
	}
	if err != nil {
		return err
	}
	c.Kind, c.FencingToken, c.NoteRevision = UpdateNote, d.FencingToken, d.NoteRevision
	c.Note, err = plan.Encode()
	return err
}

func (p *part) named(v replicated.InstanceView, name string) (Member, bool) {
	for _, m := range v.Group.Members() {
		if m.Name == name {
			return p.member(v, m), true
		}
	}
	return Member{}, false
}
