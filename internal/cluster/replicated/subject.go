// Package subject is the one shape of what a group agrees on beside its document: who holds which duty,
// which triggers have come how far, how much an account may do.
//
// A subject is a package with its rules, its messages in the schema, and a line in agreement's list.
// Nothing else knows it by name but who uses it: the node, and the operators' service where it has
// something to say there. What stands in its section of the document, what of it is in the agreed log and
// in snapshots, what an instance says of itself when it renews its session, what the leader judges and
// what an instance has to do are asked through Subject, State and Part.
//
// The rollout of changes is no subject: it is the ground that all of them stand on. It gives the sessions
// that they hold by, and decides which document they go by.
package replicated

import (
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// Subject is what a group agrees on beside its document, or a section of that with rules of its own.
type Subject interface {
	// Section is the section of the document that it goes by: its name.
	Section() string
	// Since is the format of the log from which on a group knows it.
	Since() int
	// Check gives all that is wrong with its section. It must find the same at every instance.
	Check(t Terms) []string
	// Has says whether an entry of the log is this subject's.
	Has(e *schema.Change) bool
	// State makes its part of a new group's state, whose numbers come after the given one; nil: it has
	// none.
	State(after uint64) State
	// Part makes an instance's part in it; nil: it has none.
	Part(o Own) Part
}

// Terms are what a document says, as subjects see it.
type Terms struct {
	Values  map[string]string // of the subject's section; nil: the document has none
	Format  int               // of the group's log: what came later is no word of it
	Classes []Class
	Tenants []string
}

// Class is a class of jobs.
type Class struct {
	Name     string
	Effect   string
	KeyScope string
	GiveUp   time.Duration
	Window   time.Duration
}

// ClassNames lists the classes.
func (t Terms) ClassNames() []string {
	var names []string
	for _, c := range t.Classes {
		names = append(names, c.Name)
	}
	return names
}

// State is a subject's part of the agreed state: the same entries in the same order make the same one,
// byte for byte, at every instance.
type State interface {
	// Configure goes by a document that has come into force. It has been checked.
	Configure(t Terms)
	// Read takes what an entry says, if it is this subject's.
	Read(e *schema.Change) (Word, bool)
	// Seated tells who may own something by placement, after each entry.
	Seated(members []placement.Member)
	// Vacated tells of sessions that have surely ended, and why.
	Vacated(over func(placement.Seat) bool, why string, atMS int64)
	// Image is what is to be kept. Every field is named, also where it is empty.
	Image() []Field
	// Restore takes over an image. read says whether a field is there, and fills what is given.
	Restore(read func(field string, into any) (bool, error)) error
}

// Field is a named part of an image.
type Field struct {
	Name  string
	Value any // nil, an empty list or 0: it is left out
}

// Word is a subject's word in the log.
type Word struct {
	ID   string // who waits for its outcome knows it by this; empty: nobody does
	Kept bool   // the same word again has the same outcome
	// Judged: it is the judgement of the leader of a term, and void in another one. Hazard: a leader that
	// has been deposed between its look and its word hands the word on to the next one, which may have
	// granted since what the word counts as over.
	Judged bool
	Term   uint64
	// Apply does what it says, or says why it does nothing. open says whether a session is open.
	Apply func(open func(placement.Seat) bool) error
}

// Own is what an instance has of its own that subjects go by.
type Own struct {
	Wall   func() time.Time // nil: there is no such clock
	Zones  *calendar.Zones  // nil: those that are here
	Labels []string         // what it has that duties ask for
}

// Part is an instance's part in a subject: its own side, and the leader's while it leads. It has no clock
// and does nothing itself: words go into the log, and what it tells goes to the rest of the node.
type Part interface {
	// Lead begins the leader's side in a term; in term 0 it ends.
	Lead(now time.Duration, term uint64)
	// Report adds what the instance says of itself when it renews its session.
	Report(v View, r *schema.SessionReport)
	// Heard takes what a member has said of itself.
	Heard(now time.Duration, member uint64, r *schema.SessionReport)
	// Grant adds what the leader says with a lease.
	Grant(v View, member uint64, g *schema.SessionGrant)
	// Granted takes a lease.
	Granted(now time.Duration, g *schema.SessionGrant, applied uint64)
	// Judge gives the leader's words. One that is lost is asked for again.
	Judge(v View) []*schema.Change
	// Act gives this instance's own words, and what it tells the rest of the node, in order.
	Act(v View) (told []any, words []*schema.Change)
	// Skipped says that entries were passed over: a snapshot has come in their place.
	Skipped()
	// Take takes what the rest of the node has to say.
	Take(v View, word any)
	// Status is how it stands, for operators; nil: there is nothing to say.
	Status(v View) any
}

// Operated is a part that operators have wishes of.
type Operated interface {
	// Operate gives the word that carries a wish out, under an id. mine is false for another's wish.
	Operate(v View, op *schema.Operation, id string) (e *schema.Change, mine bool, err error)
}

// View is how an instance stands.
type View struct {
	Now     time.Duration
	State   State
	Applied uint64         // entries of the log
	Self    uint64         // its member number
	Life    uint64         // the number that its process drew when it started
	Own     placement.Seat // its session; Epoch 0: none, or none any more
	Until   time.Duration  // when its right to act on what it owns by placement ends
	Lease   time.Duration  // how long any instance's lasts
	Away    bool           // it is about to end
	Group   Group
}

// Group is whom an instance belongs to.
type Group interface {
	Size() int
	// Members lists them by number. How well they are only the leader knows.
	Members() []Member
	// Seated lists those that may own something by placement.
	Seated() []placement.Member
	// Away says whether a member has said that it is about to end.
	Away(member uint64) bool
	// Out says whether a member's session, which was set aside, has surely ended. Only the leader knows.
	Out(member uint64) bool
	// Over lists the sessions that were set aside and have surely ended. Only the leader knows.
	Over() []placement.Seat
}

// Member is an instance of the group.
type Member struct {
	placement.Member
	Well  bool // it has been heard of lately
	Voter bool
}

// Words is a subject of which nothing is agreed on but a section of the document.
type Words struct {
	Name string
	From int // Since
	Rule func(Terms) []string
}

var _ Subject = Words{}

// Section implements Subject.
func (w Words) Section() string { return w.Name }

// Since implements Subject.
func (w Words) Since() int { return w.From }

// Check implements Subject.
func (w Words) Check(t Terms) []string { return w.Rule(t) }

// Has implements Subject.
func (Words) Has(*schema.Change) bool { return false }

// State implements Subject.
func (Words) State(uint64) State { return nil }

// Part implements Subject.
func (Words) Part(Own) Part { return nil }

// Idle is a part that does nothing, for those that do little to be made of.
type Idle struct{}

var _ Part = Idle{}

// Lead implements Part.
func (Idle) Lead(time.Duration, uint64) {}

// Report implements Part.
func (Idle) Report(View, *schema.SessionReport) {}

// Heard implements Part.
func (Idle) Heard(time.Duration, uint64, *schema.SessionReport) {}

// Grant implements Part.
func (Idle) Grant(View, uint64, *schema.SessionGrant) {}

// Granted implements Part.
func (Idle) Granted(time.Duration, *schema.SessionGrant, uint64) {}

// Judge implements Part.
func (Idle) Judge(View) []*schema.Change { return nil }

// Act implements Part.
func (Idle) Act(View) ([]any, []*schema.Change) { return nil, nil }

// Skipped implements Part.
func (Idle) Skipped() {}

// Take implements Part.
func (Idle) Take(View, any) {}

// Status implements Part.
func (Idle) Status(View) any { return nil }
