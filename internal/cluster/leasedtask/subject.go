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

// Subject has a group agree on its duties.
type Subject struct{}

var _ replicated.Subject = Subject{}

// Section implements subject.Subject.
func (Subject) Section() string { return Section }

// Since implements subject.Subject.
func (Subject) Since() int { return 3 }

// Check implements subject.Subject.
func (Subject) Check(t replicated.Terms) []string {
	_, wrong := ReadPolicy(t.Values, t.Format)
	return wrong
}

// Has implements subject.Subject.
func (Subject) Has(e *schema.Change) bool { return e.Duty != nil }

// State implements subject.Subject.
func (Subject) State(after uint64) replicated.State { return &Agreed{State: NewState(after)} }

// Part implements subject.Subject.
func (Subject) Part(o replicated.Own) replicated.Part {
	return &part{wall: o.Wall, labels: o.Labels, words: map[uint64][]string{}}
}

// Agreed is the State as a subject's.
type Agreed struct {
	*State
	Specs []Spec // of the document in force
}

// Configure implements subject.State.
func (a *Agreed) Configure(t replicated.Terms) {
	p, _ := ReadPolicy(t.Values, t.Format)
	a.Specs = p.Specs()
}

// Seated implements subject.State: a duty has a holder, and no owner.
func (a *Agreed) Seated([]placement.Member) {}

// Vacated implements subject.State.
func (a *Agreed) Vacated(over func(placement.Seat) bool, why string, atMS int64) {
	a.State.Vacated(func(h Seat) bool { return over(placement.Seat(h)) }, why, atMS)
}

// Image implements subject.State.
func (a *Agreed) Image() []replicated.Field {
	return []replicated.Field{{Name: "duties", Value: a.List()}, {Name: "number", Value: a.Number}}
}

// Restore implements subject.State.
func (a *Agreed) Restore(read func(string, any) (bool, error)) error {
	var list []*Duty
	_, bad := read("duties", &list)
	_, worse := read("number", &a.Number)
	if err := errors.Join(bad, worse); err != nil {
		return err
	}
	for _, d := range list {
		if d == nil || d.Number > a.Number || len(d.Note) > MaxNote {
			return errors.New("a duty that can't be")
		}
		a.Duties[d.Name] = d
	}
	return nil
}

// Read implements subject.State.
func (a *Agreed) Read(e *schema.Change) (w replicated.Word, ok bool) {
	m := e.Duty
	if m == nil {
		return w, false
	}
	c := Command{Kind: Kind(m.Kind), ID: m.Id, Term: m.Term, Duty: m.Duty, Names: m.Names,
		Seat: Seat{Member: m.Member, Epoch: m.Epoch}, Name: m.Name, Number: m.Number, To: m.To,
		Turn: m.Turn, Failed: m.Failed, Reason: m.Reason, AtMS: m.AtMs}
	if m.Noted {
		c.Note = append([]byte{}, m.Note...)
	}
	return replicated.Word{ID: c.ID, Term: c.Term,
		// A holder's words are many, and harmless when they come again: only operators' are remembered.
		Kept:   c.Kind >= HandOn,
		Judged: c.Term != 0 || c.Kind.Judged(),
		Apply: func(open func(placement.Seat) bool) error {
			return a.Apply(c, func(h Seat) bool { return open(placement.Seat(h)) })
		}}, true
}

// Encode writes a command as it stands in the log.
func Encode(c Command) *schema.Change {
	return &schema.Change{Format: 3, Duty: &schema.DutyCommand{Kind: uint32(c.Kind), Id: c.ID,
		Term: c.Term, Duty: c.Duty, Names: c.Names, Member: c.Seat.Member, Epoch: c.Seat.Epoch, Name: c.Name,
		Number: c.Number, Note: c.Note, Noted: c.Note != nil, To: c.To, Turn: c.Turn, Failed: c.Failed,
		Reason: c.Reason, AtMs: c.AtMS}}
}

// part is an instance's: what it holds itself, and as leader who is to hold what.
type part struct {
	replicated.Idle
	holder Holder
	leader *Leader
	last   []Held // as told last
	noted  Noted
	doubts Doubts
	wall   func() time.Time
	labels []string
	words  map[uint64][]string // the labels that members have named, for the leader
}

var _ replicated.Operated = (*part)(nil)

func (p *part) Lead(now time.Duration, term uint64) {
	if p.leader = nil; term != 0 {
		p.leader = NewLeader(now, term)
	}
}

func (p *part) Report(_ replicated.View, r *schema.SessionReport) { r.Labels = p.labels }

func (p *part) Heard(_ time.Duration, member uint64, r *schema.SessionReport) {
	if len(p.words) > 1024 {
		clear(p.words)
	}
	p.words[member] = r.Labels
}

// Grant names the entry that a member's state must have for a lease granted now to count for duties; 0: it
// does not.
func (p *part) Grant(v replicated.View, member uint64, g *schema.SessionGrant) {
	if p.leader.Free(member, v.State.(*Agreed).State) {
		g.Index = v.Applied
	}
}

func (p *part) Granted(_ time.Duration, g *schema.SessionGrant, applied uint64) {
	p.holder.Granted(g.Epoch, time.Duration(g.AskedNs), time.Duration(g.ForNs), g.Index, applied)
}

func (p *part) Judge(v replicated.View) (words []*schema.Change) {
	s := v.State.(*Agreed)
	look := View{Now: v.Now, Lease: v.Lease, Specs: s.Specs, Over: v.Group.Out}
	if len(s.Specs) == 0 && len(s.Duties) == 0 {
		return nil
	}
	for _, m := range v.Group.Members() {
		look.Members = append(look.Members, p.member(v, m))
	}
	for _, c := range p.leader.Look(s.State, look) {
		if p.wall != nil {
			c.AtMS = p.wall().UnixMilli()
		}
		words = append(words, Encode(c))
	}
	return words
}

// Doubts are the members that are believed not to be there, or to be ill. They are given a duty after all
// others. Hazard: a belief may be wrong of everybody, and bars nobody. Who holds a duty keeps it: that it has
// ended only its lease says.
type Doubts struct {
	Seq uint64 // grows with each word: one that was said before may come after it
	Of  map[uint64]bool
}

// Take takes whom to doubt.
func (p *part) Take(_ replicated.View, word any) {
	if d, ok := word.(Doubts); ok && d.Seq > p.doubts.Seq {
		p.doubts = d
	}
}

// member is a member as the duties' judgement sees it.
func (p *part) member(v replicated.View, m replicated.Member) Member {
	return Member{Seat: Seat(m.Seat), Name: m.Name, Well: m.Well, Doubted: p.doubts.Of[m.Seat.Member],
		Away:   v.Group.Away(m.Seat.Member),
		Labels: p.words[m.Seat.Member]}
}

// Noted is that a plan of rolling restarts was noted: it is for all instances to read, and not for who holds
// the duty alone.
type Noted struct {
	Turn uint64 // 0: there is none
	Self uint64 // the member number of who is told
	Life uint64 // of its process
	Note []byte
}

// Act tells what this instance holds, and what was noted for all, when that has changed.
func (p *part) Act(v replicated.View) (told []any, _ []*schema.Change) {
	told = p.plan(v)
	p.holder.Applied(v.Applied)
	var held []Held
	if v.Own.Epoch != 0 {
		held = p.holder.Holds(v.State.(*Agreed).State, Seat(v.Own), v.Lease)
	}
	if len(held) == 0 && len(p.last) == 0 || reflect.DeepEqual(held, p.last) {
		return told, nil
	}
	p.last = held
	return append(told, held), nil
}

func (p *part) plan(v replicated.View) []any {
	d := v.State.(*Agreed).Duties[Roll]
	if d == nil || d.Turn == p.noted.Turn {
		return nil
	}
	p.noted = Noted{Turn: d.Turn, Self: v.Self, Life: v.Life, Note: d.Note}
	return []any{p.noted}
}

// Operate puts an operator's wish into words, where it can be met.
func (p *part) Operate(v replicated.View, op *schema.Operation, id string) (*schema.Change, bool, error) {
	c := Command{ID: id, Duty: op.Name, Name: op.Author}
	s := v.State.(*Agreed)
	d := s.Duties[op.Name]
	switch op.Kind {
	case schema.Operation_PAUSE:
		c.Kind = Pause
	case schema.Operation_RESUME:
		c.Kind = Resume
	case schema.Operation_HAND_ON:
		c.Kind, c.Reason = HandOn, "handed on by "+op.Author
		if d != nil {
			c.Number = d.Number
		}
		if op.By != "" && d != nil {
			m, ok := p.named(v, op.By)
			if !ok {
				return nil, true, fmt.Errorf("the group has no instance %q", op.By)
			}
			if d.Holder.Member == m.Seat.Member {
				return nil, true, fmt.Errorf("%s holds %s", op.By, op.Name)
			}
			spec := Spec{Name: op.Name}
			for _, x := range s.Specs {
				if x.Name == op.Name {
					spec = x
				}
			}
			if err := Eligible(m, spec); err != nil {
				return nil, true, fmt.Errorf("%s can't hold %s: %v", op.By, op.Name, err)
			}
			c.To = m.Seat.Member
		}
	case schema.Operation_ROLL, schema.Operation_ROLL_STOP, schema.Operation_ROLL_RESUME,
		schema.Operation_ROLL_UNDO:
		c.Duty = Roll
		if err := p.roll(v, op, &c); err != nil {
			return nil, true, err
		}
	default:
		return nil, false, nil
	}
	return Encode(c), true, nil
}

// roll puts a wish of rolling restarts into the plan that is noted. Both are words under the holder's number,
// and in the place of the note that was read: of two at the same time one is void.
func (p *part) roll(v replicated.View, op *schema.Operation, c *Command) error {
	d := v.State.(*Agreed).Duties[Roll]
	switch {
	case d == nil:
		return fmt.Errorf("the configuration has no conductor: say roll = \"on\" in the section %q", Section)
	case !d.Held():
		return fmt.Errorf("nobody conducts at this moment; ask again")
	}
	plan, err := rollingrestart.Read(d.Note)
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
			one := rollingrestart.Member{ID: m.Seat.Member, Name: m.Name, Voter: m.Voter}
			for _, l := range p.words[m.Seat.Member] {
				if zone, ok := strings.CutPrefix(l, Zone); ok {
					one.Zone = zone
				}
			}
			members = append(members, one)
		}
		plan, err = rollingrestart.Start(plan, rollingrestart.Wish{By: op.Author, Out: int(op.Out),
			Within: time.Duration(op.WithinNs), Alone: op.Alone, Only: op.Only}, members)
	}
	if err != nil {
		return err
	}
	c.Kind, c.Number, c.Turn = Note, d.Number, d.Turn
	c.Note, err = plan.Note()
	return err
}

func (p *part) named(v replicated.View, name string) (Member, bool) {
	for _, m := range v.Group.Members() {
		if m.Name == name {
			return p.member(v, m), true
		}
	}
	return Member{}, false
}
