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

// Options configures a run, and determines it completely.
type Options struct {
	Instances  int
	Seed       uint64
	FaultSteps int       // number of faults, some ticks apart; 0: 40
	Trace      io.Writer // receives a line for each event; nil: no trace
	// AcknowledgeBeforeSync breaks the durability of the log, to show that the checks detect this.
	AcknowledgeBeforeSync bool
}

// Result holds the counts of a run and the violations that it found.
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
	TaskActions      int            `json:"acts"`       // in leased tasks, by their holders
	TaskTransfers    int            `json:"hand_overs"` // of leased tasks, from one holder to another
	Terms            uint64         `json:"terms"`
	Faults           map[string]int `json:"faults"` // by kind
	Violations       []string       `json:"violations,omitempty"`
}

const (
	// unitsPerTick is the length of a tick in units of virtual time.
	unitsPerTick = 10
	// unit is the smallest step of virtual time, as instances' clocks show it.
	unit = 10 * time.Millisecond

	defaultFaultSteps = 40
	maxViolations     = 5
	// recoveryTicks is how long the group may take, once faults have ended, to recover, and then again to
	// accept a change.
	recoveryTicks = 400
	clientCount   = 3
)

type event struct {
	at  int64
	seq int
	run func()
}

// events implements heap.Interface. Events are ordered by time and then by sequence number.
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

// errPowerLoss is returned by the calls of a machine's log during which the machine loses power.
var errPowerLoss = errors.New("the machine lost power")

// simulator runs a group of instances with its machines, its network and its clients in virtual time.
type simulator struct {
	options            Options
	rng                *rand.Rand // for the network and the clients
	faultRNG           *rand.Rand // for the faults; separate, so that changes of one don't affect the other
	queue              events
	now                int64 // in units
	seq                int
	machines           []*machine
	network            network
	result             Result
	observed           observations
	history            []porcupine.Operation
	lastID             int  // of changes and commands
	faultsEnded        bool // whether faults have ended
	log                *logrus.Logger
	lastInstanceNumber uint64 // last number that was assigned to an instance
}

// Run performs one run and returns its result.
func Run(o Options) Result {
	if o.FaultSteps == 0 {
		o.FaultSteps = defaultFaultSteps
	}
	s := &simulator{options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		faultRNG: rand.New(rand.NewPCG(o.Seed, 2)), network: network{cut: map[route]bool{}},
		observed: newObservations(), log: logrus.New(), lastInstanceNumber: 100}
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
	s.tracef("violation: %s", text)
	if len(s.result.Violations) < maxViolations {
		s.result.Violations = append(s.result.Violations, text)
	}
}

// after schedules f after the given units of virtual time, but after one at least.
func (s *simulator) after(units int64, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(units, 1), s.seq, f})
}

// advance runs the events of the given ticks, or until an invariant is violated.
func (s *simulator) advance(ticks int64) {
	end := s.now + ticks*unitsPerTick
	for len(s.queue) > 0 && s.queue[0].at <= end && len(s.result.Violations) == 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.result.Events++
		e.run()
	}
}

// runScenario creates a group, injects faults, ends them, and performs the final checks.
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
	for n := range clientCount {
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
	s.faultsEnded = true
	s.advance(recoveryTicks)
	s.checkFinalState()
}

// document returns a valid document that differs from the document of every other n.
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

// machineOf returns the running machine of the instance with the given number, or nil.
func (s *simulator) machineOf(number uint64) *machine {
	for _, m := range s.machines {
		if m.number == number && m.instance != nil {
			return m
		}
	}
	return nil
}

// running returns the running machines, sorted by name.
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

// newID returns a unique number for the id of a change or a command.
func (s *simulator) newID() int {
	s.lastID++
	return s.lastID
}
