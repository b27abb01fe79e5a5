// Package prove tries to break the agreement: whole groups of instances in virtual time,
// on disks that lose what was not synced and a network that loses, delays, repeats and
// reorders, all drawn from a seed; and real processes that are killed.
//
// A seed is a whole story. The same seed plays the same story, so that a failure found
// at night can be looked at in the morning.
package simulation

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
	"moorstack/internal/storage/faultfs"
)

// Options are what a story is told by.
type Options struct {
	Instances  int
	Seed       uint64
	FaultSteps int       // of faults, each some ticks long
	Trace      io.Writer // each event, a line; nil: none
	// AcknowledgeBeforeSync acknowledges before it syncs. It is there to show that the checks find it.
	AcknowledgeBeforeSync bool
}

// Result is what a story came to.
type Result struct {
	Seed             uint64         `json:"seed"`
	Instances        int            `json:"instances"`
	Events           int            `json:"events"`
	Ticks            int64          `json:"ticks"`
	ChangesAccepted  int            `json:"accepted"`
	ChangesRejected  int            `json:"refused"`
	ChangesUnknown   int            `json:"unknown"`
	Reads            int            `json:"reads"`
	ChangesWithdrawn int            `json:"withdrawn"`
	JobsAdmitted     int            `json:"admitted"`
	JobsRejected     int            `json:"turned_away"`
	TaskActions      int            `json:"acts"`       // of holders of duties
	TaskTransfers    int            `json:"hand_overs"` // of duties, from one to another
	Terms            uint64         `json:"terms"`
	Faults           map[string]int `json:"faults"`
	Violations       []string       `json:"violations,omitempty"`
}

// unit is the world's least time; a tick has ten.
const tick = 10

type event struct {
	at  int64
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

var errCrash = errors.New("the machine dies here")

type world struct {
	o        Options
	rng      *rand.Rand // the network's and the clients'
	faults   *rand.Rand // the faults': a change of one doesn't shift the other
	queue    events
	now      int64
	seq      int
	machines []*machine
	cut      map[[2]string]bool // from, to
	loss     float64
	res      Result
	leaders  map[uint64]string   // by term
	states   map[uint64][32]byte // the state's digest, by entry
	byRev    map[uint64]string   // the change's id, by revision
	byID     map[string]uint64   // and the other way round
	acked    map[string]uint64   // what clients were told
	history  []porcupine.Operation
	made     int
	calm     bool
	log      *logrus.Logger
	numbers  uint64
	acts     map[string]act
	noted    map[string]int // by duty, the newest note that its holder was told is agreed on
	newest   uint64         // revision that a job was admitted under
	newestAt string
}

// Run plays one story to its end.
func Run(o Options) Result {
	if o.FaultSteps == 0 {
		o.FaultSteps = 40
	}
	w := &world{o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), faults: rand.New(rand.NewPCG(o.Seed, 2)),
		cut: map[[2]string]bool{}, leaders: map[uint64]string{}, states: map[uint64][32]byte{},
		byRev: map[uint64]string{}, acts: map[string]act{}, noted: map[string]int{},
		byID: map[string]uint64{}, acked: map[string]uint64{}, log: logrus.New(), numbers: 100}
	w.log.SetOutput(io.Discard)
	if o.Trace != nil {
		w.log.SetOutput(o.Trace)
		w.log.SetLevel(logrus.DebugLevel)
		w.log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
	}
	w.res = Result{Seed: o.Seed, Instances: o.Instances, Faults: map[string]int{}}
	w.play()
	w.res.Ticks = w.now / tick
	for term := range w.leaders {
		w.res.Terms = max(w.res.Terms, term)
	}
	return w.res
}

func (w *world) trace(format string, args ...any) {
	if w.o.Trace != nil {
		fmt.Fprintf(w.o.Trace, "%8.1f  %s\n", float64(w.now)/tick, fmt.Sprintf(format, args...))
	}
}

func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.trace("VIOLATED: %s", text)
	if len(w.res.Violations) < 5 {
		w.res.Violations = append(w.res.Violations, text)
	}
}

func (w *world) after(d int64, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(d, 1), w.seq, f})
}

// run lets the world go on for some time, or until it is broken.
func (w *world) run(ticks int64) {
	for end := w.now + ticks*tick; len(w.queue) > 0 && w.queue[0].at <= end && len(w.res.Violations) == 0; {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.res.Events++
		e.f()
	}
}

// play is the story: a group is made, faults come and go, and at the end all is well
// again and everything is looked at.
func (w *world) play() {
	for n := range w.o.Instances {
		w.add(fmt.Sprintf("n%d", n+1))
	}
	first := w.machines[0]
	if err := first.live().Bootstrap("sim", "a:n1", w.document(0), 0); err != nil {
		w.violate("bootstrap: %v", err)
		return
	}
	first.drive()
	w.add("spare").spare = true
	for _, m := range w.machines[1:] {
		w.enter(m)
	}
	for n := range 3 {
		w.client(n)
	}
	w.tidy()
	for range w.o.FaultSteps {
		w.fault()
		w.run(int64(5 + w.faults.IntN(60)))
		if len(w.res.Violations) > 0 {
			return
		}
	}
	w.heal()
	w.calm = true
	w.run(400)
	w.finale()
}

// document is a valid one that is unlike others.
func (w *world) document(n int) *clusterstate.Document {
	d := &clusterstate.Document{
		Classes: []clusterstate.Class{{Name: "c", Idempotency: "retryable", Timeout: 5e9, LatencyObjective: 1e9,
			PriorityWeight: float64(n)}},
	}
	d.Sections = map[string]map[string]string{leasedtask.Section: {"drill": "3"}}
	if w.o.Seed%4 == 3 {
		d.Sections[rollout.Section] = map[string]string{"cut_off": rollout.KeepServing}
	}
	return d
}

func (w *world) add(name string) *machine {
	m := &machine{w: w, name: name, fs: faultfs.New(w.o.Seed<<8 + uint64(len(w.machines))),
		pace: tick + int64(w.faults.IntN(5)) - 2}
	w.machines = append(w.machines, m)
	m.start()
	return m
}

// agreed notes that a revision is in force somewhere.
func (w *world) agreed(at string, revision uint64, id string) {
	if was, ok := w.byRev[revision]; ok && was != id {
		w.violate("revision %d is change %s, and %s at %s", revision, was, id, at)
	}
	if was, ok := w.byID[id]; ok && was != revision {
		w.violate("change %s is revision %d, and %d at %s: applied twice", id, was, revision, at)
	}
	w.byRev[revision], w.byID[id] = id, revision
}

func (w *world) at(number uint64) *machine {
	for _, m := range w.machines {
		if m.number == number && m.inst != nil {
			return m
		}
	}
	return nil
}

// send carries a message, as a bad network does. It goes as bytes, so that instances
// share nothing.
func (w *world) send(from *machine, msg *pb.Message) {
	raw, err := proto.Marshal(msg)
	if err != nil {
		w.violate("a message that can't be written: %v", err)
		return
	}
	if msg.GetType() == pb.MsgSnap {
		sender, life := from, from.life
		ok := w.at(msg.GetTo()) != nil
		w.after(15, func() {
			if sender.life == life && sender.inst != nil {
				sender.live().ReportSnapshot(msg.GetTo(), ok)
				sender.drive()
			}
		})
	}
	w.carry(from, msg.GetTo(), func(to *machine) {
		got := &pb.Message{}
		if err := proto.Unmarshal(raw, got); err != nil {
			w.violate("a message that can't be read: %v", err)
			return
		}
		if err := to.live().Step(got); err != nil {
			w.trace("%s refuses %v of %s: %v", to.name, got.GetType(), from.name, err)
		}
		to.drive()
	})
}

// say carries a word on sessions.
func (w *world) say(from *machine, x consensus.SessionMessage) {
	raw, err := proto.Marshal(x.Message)
	if err != nil {
		w.violate("a word on sessions that can't be written: %v", err)
		return
	}
	number := from.number
	w.trace("%s to %x: %v", from.name, x.To, x.Message)
	w.carry(from, x.To, func(to *machine) {
		got := &schema.SessionMessage{}
		if err := proto.Unmarshal(raw, got); err != nil {
			w.violate("a word on sessions that can't be read: %v", err)
			return
		}
		if err := to.live().StepSession(number, got); err != nil {
			w.trace("%s refuses a word on sessions of %s: %v", to.name, from.name, err)
		}
		to.drive()
	})
}

// carry has something reach an instance, as a bad network does: late, twice or never.
func (w *world) carry(from *machine, number uint64, f func(to *machine)) {
	copies := 1
	if !w.calm {
		if w.rng.Float64() < w.loss {
			return
		}
		if w.rng.IntN(20) == 0 {
			copies = 2
		}
	}
	for range copies {
		delay := int64(1 + w.rng.IntN(6))
		if !w.calm && w.rng.IntN(30) == 0 {
			delay += int64(w.rng.IntN(400)) // and others overtake it
		}
		w.after(delay, func() {
			to := w.at(number)
			switch {
			case to == nil || w.cut[[2]string{from.name, to.name}]:
			case w.now < to.stalled: // it waits in the kernel
				to.later(to.stalled-w.now+int64(w.rng.IntN(3)), func() { f(to) })
			default:
				f(to)
			}
		})
	}
}

// leader is the machine that leads in the highest term, if any does.
func (w *world) leader() *machine {
	var best *machine
	for _, m := range w.machines {
		if m.inst != nil {
			if s := m.inst.Status(); s.Role == "leader" && (best == nil || s.Term > best.inst.Status().Term) {
				best = m
			}
		}
	}
	return best
}

// enter brings a machine into the group: as a learner, then with a vote, however often
// it takes.
func (w *world) enter(m *machine) {
	retry := func() { w.after(int64(30+w.rng.IntN(40)), func() { w.enter(m) }) }
	lead := w.leader()
	if m.inst == nil || lead == nil {
		retry()
		return
	}
	if _, _, cluster := m.inst.Identity(); cluster == "" {
		if err := m.live().Join("sim"); err != nil {
			w.violate("%s can't join: %v", m.name, err)
			return
		}
		m.drive()
	}
	var op *schema.Operation
	for _, s := range lead.inst.Status().Members {
		switch {
		case s.ID == m.number && (s.Voter || m.spare):
			return
		case s.ID == m.number:
			op = &schema.Operation{Kind: schema.Operation_PROMOTE, Name: m.name}
		case s.Name == m.name:
			op = &schema.Operation{Kind: schema.Operation_REMOVE, Name: m.name} // its life before the wipe
		}
	}
	if op == nil {
		op = &schema.Operation{Kind: schema.Operation_ADD, Name: m.name, Address: "a:" + m.name}
	}
	w.operate(lead, op, m.number)
	retry()
}

func (w *world) operate(lead *machine, op *schema.Operation, number uint64) {
	w.trace("%s is asked: %v %s %s", lead.name, op.Kind, op.Name, op.By)
	t := lead.live().Operate(op, number)
	lead.answers[t] = func(a consensus.Response) { w.trace("%v %s: %v", op.Kind, op.Name, a.Err) }
	lead.drive()
}

// up lists the machines that run.
func (w *world) up() []*machine {
	var list []*machine
	for _, m := range w.machines {
		if m.inst != nil {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	return list
}
