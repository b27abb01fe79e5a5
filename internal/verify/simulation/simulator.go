package simulation

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/storage/faultfs"
)

// Options are what a run depends on.
type Options struct {
	Instances  int
	Seed       uint64
	FaultSteps int       // how many faults, each some ticks after the one before; 40, if 0
	Trace      io.Writer // gets a line for each event; nil: nobody does
	// AcknowledgeBeforeSync breaks the durability of the log. It is there to show that the checks find it.
	AcknowledgeBeforeSync bool
}

// Result is what a run came to.
type Result struct {
	Seed             uint64         `json:"seed"`
	Instances        int            `json:"instances"`
	Events           int            `json:"events"`
	Ticks            int64          `json:"ticks"`
	ChangesAccepted  int            `json:"accepted"`
	ChangesRejected  int            `json:"refused"`
	ChangesUnknown   int            `json:"unknown"` // without a response
	Reads            int            `json:"reads"`
	ChangesWithdrawn int            `json:"withdrawn"`
	JobsAdmitted     int            `json:"admitted"`
	JobsRejected     int            `json:"turned_away"`
	TaskActions      int            `json:"acts"`       // of lease holders
	TaskTransfers    int            `json:"hand_overs"` // of leased tasks, from one holder to another
	Terms            uint64         `json:"terms"`
	Faults           map[string]int `json:"faults"` // by kind
	Violations       []string       `json:"violations,omitempty"`
}

const (
	// unitsPerTick is how many units of virtual time a tick has.
	unitsPerTick = 10
	// unit is the least virtual time, as instances' clocks show it.
	unit = 10 * time.Millisecond

	defaultFaultSteps = 40
	maxViolations     = 5
	// calmTicks is how long the group has to recover, or to take a change, once faults have ended.
	calmTicks = 400
	clients   = 3
)

type event struct {
	at  int64
	seq int
	run func()
}

// events is a heap.Interface, by time and then by order.
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

// errPowerLoss is what a machine's log returns where the machine loses power.
var errPowerLoss = errors.New("the machine loses power here")

// simulator is a group of instances with its machines, its network and its clients, in virtual time.
type simulator struct {
	options   Options
	rng       *rand.Rand // the network's and the clients'
	faultRNG  *rand.Rand // the faults': a change of one doesn't shift the other
	queue     events
	now       int64 // in units
	seq       int
	machines  []*machine
	network   network
	result    Result
	observed  observations
	history   []porcupine.Operation
	lastID    int  // of changes and commands
	calm      bool // faults have ended
	log       *logrus.Logger
	lastDrawn uint64 // number of an instance
}

// Run makes one run to its end.
func Run(o Options) Result {
	if o.FaultSteps == 0 {
		o.FaultSteps = defaultFaultSteps
	}
	s := &simulator{options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		faultRNG: rand.New(rand.NewPCG(o.Seed, 2)), network: network{cut: map[route]bool{}},
		observed: newObservations(), log: logrus.New(), lastDrawn: 100}
	s.log.SetOutput(io.Discard)
	if o.Trace != nil {
		s.log.SetOutput(o.Trace)
		s.log.SetLevel(logrus.DebugLevel)
		s.log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
	}
	s.result = Result{Seed: o.Seed, Instances: o.Instances, Faults: map[string]int{}}
	s.runScenario()
	s.result.Ticks = s.now / unitsPerTick
	for term := range s.observed.leaders {
		s.result.Terms = max(s.result.Terms, term)
	}
	return s.result
}

func (s *simulator) tracef(format string, args ...any) {
	if s.options.Trace != nil {
		fmt.Fprintf(s.options.Trace, "%8.1f  %s\n", float64(s.now)/unitsPerTick, fmt.Sprintf(format, args...))
	}
}

func (s *simulator) violatef(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.tracef("VIOLATED: %s", text)
	if len(s.result.Violations) < maxViolations {
		s.result.Violations = append(s.result.Violations, text)
	}
}

// after schedules f in so many units of time, at least one.
func (s *simulator) after(units int64, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(units, 1), s.seq, f})
}

// advance lets time pass, until an invariant is violated.
func (s *simulator) advance(ticks int64) {
	end := s.now + ticks*unitsPerTick
	for len(s.queue) > 0 && s.queue[0].at <= end && len(s.result.Violations) == 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.result.Events++
		e.run()
	}
}

// runScenario makes a group, injects faults, ends them, and checks everything.
func (s *simulator) runScenario() {
	for n := range s.options.Instances {
		s.addMachine(fmt.Sprintf("n%d", n+1))
	}
	first := s.machines[0]
	if err := first.input().Bootstrap("sim", "a:n1", s.document(0), 0); err != nil {
		s.violatef("bootstrap: %v", err)
		return
	}
	first.processReady()
	s.addMachine("spare").spare = true
	for _, m := range s.machines[1:] {
		s.join(m)
	}
	for n := range clients {
		s.runClient(n)
	}
	s.closeLostSessions()
	for range s.options.FaultSteps {
		s.injectFault()
		s.advance(int64(5 + s.faultRNG.IntN(60)))
		if len(s.result.Violations) > 0 {
			return
		}
	}
	s.endFaults()
	s.calm = true
	s.advance(calmTicks)
	s.checkFinalState()
}

// document is a valid document, unlike that of any other n.
func (s *simulator) document(n int) *clusterstate.Document {
	d := &clusterstate.Document{
		Classes: []clusterstate.Class{{Name: "c", Idempotency: "retryable", Timeout: 5e9,
			LatencyObjective: 1e9,
			PriorityWeight:   float64(n)}},
	}
	d.Sections = map[string]map[string]string{leasedtask.Section: {"drill": "3"}}
	if s.options.Seed%4 == 3 {
		d.Sections[rollout.Section] = map[string]string{"cut_off": string(rollout.KeepServing)}
	}
	return d
}

func (s *simulator) addMachine(name string) *machine {
	m := &machine{sim: s, name: name, disk: faultfs.New(s.options.Seed<<8 + uint64(len(s.machines))),
		unitsPerTick: unitsPerTick + int64(s.faultRNG.IntN(5)) - 2}
	s.machines = append(s.machines, m)
	m.start()
	return m
}

// machineOf is the running machine of an instance's number, or nil.
func (s *simulator) machineOf(number uint64) *machine {
	for _, m := range s.machines {
		if m.number == number && m.instance != nil {
			return m
		}
	}
	return nil
}

// running lists the machines that run, by name.
func (s *simulator) running() []*machine {
	var list []*machine
	for _, m := range s.machines {
		if m.instance != nil {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	return list
}

// newID gives a number for the id of a change or a command.
func (s *simulator) newID() int {
	s.lastID++
	return s.lastID
}
