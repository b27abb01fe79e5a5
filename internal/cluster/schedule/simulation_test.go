package schedule

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

// simulation runs a group in virtual time. All instances apply the same log, each at its own pace, with
// sessions and leases as in package rollout. The faults are instances that stall, crash, lag, are
// partitioned, join and depart, wrong or stepping clocks, lost, late and duplicated commands, and policy
// changes. Afterwards the run is audited. The seed determines the run.
type simulation struct {
	t         testing.TB
	rng       *rand.Rand
	seed      uint64
	now       time.Duration // of the monotonic clock
	startUnix int64         // true time of day at the start, in Unix seconds
	speed     int64         // seconds of the time of day per second of the monotonic clock
	log       []logEntry
	replica   replica // has always applied the whole log
	leader    *Leader
	instances []*instance
	epoch     uint64 // of the newest session
	jobs      []runningJob
	zones     *calendar.ZoneDB
	// otherZones are the zone rules that one instance may have instead.
	otherZones *calendar.ZoneDB
	policy     Policy
	starts     map[string][]jobStart // by idempotency key
	faults     int
	clockStep  time.Duration // of all clocks
	// steppedForward is set once all clocks have stepped forward. From then on the cluster time is ahead of
	// the true time.
	steppedForward bool
	endedSessions  map[Session]bool
}

type entryKind int

const (
	commandEntry entryKind = iota
	policyEntry
	sessionsEntry
)

// logEntry is an entry of the simulated log.
type logEntry struct {
	kind     entryKind
	command  Command
	policy   Policy
	sessions []placement.Member // the members with open sessions
	ended    []Session
}

// replica is a State, the members with open sessions, and the position up to which the log is applied.
type replica struct {
	state   *State
	members []placement.Member // with open sessions
	applied int                // number of log entries
}

func (r *replica) apply(e logEntry) {
	r.applied++
	switch e.kind {
	case policyEntry:
		r.state.Configure(&e.policy)
	case commandEntry:
		_ = r.state.Apply(e.command)
	case sessionsEntry:
		r.state.OrphanFirings(func(x Session) bool {
			for _, ended := range e.ended {
				if ended == x {
					return true
				}
			}
			return false
		})
	}
	if e.sessions != nil {
		r.members = e.sessions
	}
	r.state.SetOwners(r.members)
}

// instance is an instance of the simulated group.
type instance struct {
	id uint64
	replica
	scheduler *Scheduler
	epoch     uint64 // of its session; 0: none
	firings   []Firing

	// The times until which the instance applies nothing, does nothing, is down, or is partitioned from the
	// others.
	laggingUntil, stalledUntil, downUntil, partitionedUntil time.Duration
	departed                                                bool // it is not in the group at present
	clockSkew                                               time.Duration
	hasOtherZones                                           bool

	// The lease as the instance knows it: it may act until leaseEnd. A grant extends the lease to grantedEnd
	// once grantIndex entries are applied. grantIndex 0: no grant is pending; negative: the session's process
	// has crashed.
	leaseEnd, grantedEnd time.Duration
	grantIndex           int
	clusterTime          int64 // Unix nanoseconds, as granted at clusterTimeAt; 0: unknown
	clusterTimeAt        time.Duration
	// expiresAt is the time after which the leader treats the lease as expired.
	expiresAt  time.Duration
	reportedAt time.Duration
	sent       []sentCommand
}

// sentCommand is a command on its way to the leader.
type sentCommand struct {
	command  Command
	arriveAt time.Duration
}

// jobStart is the start of a firing's job.
type jobStart struct {
	member      uint64
	epoch       uint64
	at          time.Duration
	number      uint64 // of the firing
	redelivered bool
}

// runningJob is a job that was started and has not ended.
type runningJob struct {
	instance *instance
	firing   Firing
	session  Session
	// processAlive is set while the process that started the job is alive.
	processAlive bool
	endsAt       time.Duration
	result       Result
}

const (
	simulationStep  = 10 * time.Millisecond
	simulationTick  = 50 * time.Millisecond
	simulationLease = 500 * time.Millisecond
	// faultFreePeriod is the time without faults at the end of a run. It must exceed ten leases (5 s), after
	// which an orphaned firing that may not be sent again is finished.
	faultFreePeriod = 10 * time.Second
)

// trueTime returns the true time of day in Unix nanoseconds.
func (s *simulation) trueTime() int64 { return s.startUnix*1e9 + int64(s.now)*s.speed }

func (n *instance) session() Session { return Session{Member: n.id, Epoch: n.epoch} }

func (n *instance) member() placement.Member {
	return placement.Member{Session: n.session(), Name: strconv.Itoa(int(n.id))}
}

func (n *instance) up(now time.Duration) bool {
	return now >= n.stalledUntil && now >= n.downUntil && !n.departed
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	s := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 31)), zones: calendar.NewZoneDB(),
		starts: map[string][]jobStart{}, endedSessions: map[Session]bool{},
		replica: replica{state: NewState()}, leader: NewLeader(1)}
	// Some runs start in a night in which the clocks change, or before or on a leap day.
	starts := []string{"2026-03-29T00:59Z", "2026-10-25T00:29Z", "2028-02-28T23:59Z", "2026-06-01T03:59Z",
		"2028-02-29T23:59Z", "2026-10-25T00:59Z"}
	s.startUnix = unix(starts[s.rng.IntN(len(starts))]) + int64(s.rng.IntN(50))
	s.speed = []int64{1, 1, 20, 300}[s.rng.IntN(4)]
	s.otherZones = calendar.NewZoneDBWithLoader(func(name string) (*time.Location, error) {
		return time.FixedZone(name, 3600), nil
	})
	s.policy = s.policyVariant(0)
	for i := range 2 + s.rng.IntN(4) {
		s.instances = append(s.instances, &instance{id: uint64(i + 1), replica: replica{state: NewState()},
			scheduler: NewScheduler(s.zones)})
	}
	if s.rng.IntN(5) == 0 {
		n := s.instances[len(s.instances)-1]
		n.hasOtherZones, n.scheduler = true, NewScheduler(s.otherZones)
	}
	s.appendEntry(logEntry{kind: policyEntry, policy: s.policy})
	return s
}

// policyVariants is the number of policies that policyVariant can return.
const policyVariants = 4

// policyVariant returns one of several policies. Trigger c differs between variants, and trigger A is
// only in some.
func (s *simulation) policyVariant(variant int) Policy {
	frequent := "*/5 * * * * *"
	if s.speed > 1 {
		frequent = "* * * * *"
	}
	values := map[string]string{"zone": "Europe/Berlin", "bound": "1h",
		"trigger.a": frequent + " class=any fold=both late=24h",
		"trigger.b": frequent + " class=once gap=shift fold=both late=24h",
		"trigger.c": fmt.Sprintf("*/2 * * * * class=key fold=both late=24h path=/%d", variant/2),
		"trigger.d": "0 * 28,29 * * class=once fold=both leap=last late=24h spread=90s"}
	if s.speed == 1 {
		values["bound"] = "1s"
	}
	if variant%2 == 1 {
		values["trigger.A"] = frequent + " class=any late=24h fold=both"
	}
	return mustParsePolicy(s.t, values, KnownNames{Classes: []string{"any", "once", "key"}})
}

// appendEntry appends an agreed entry to the log. It checks that the entry takes no firing from a session
// that has not ended.
func (s *simulation) appendEntry(e logEntry) {
	if e.kind == sessionsEntry {
		for _, n := range s.instances {
			if n.epoch != 0 {
				e.sessions = append(e.sessions, n.member())
			}
		}
	}
	for _, session := range e.ended {
		s.endedSessions[session] = true
	}
	s.log = append(s.log, e)
	before := s.replica.state.OpenFirings()
	s.replica.apply(e)
	for _, f := range before {
		now, open := s.replica.state.OpenFiring(f.Number)
		reassigned := open && now.Session != f.Session || !open && e.command.Kind == ResolveOrphans
		if reassigned && !s.endedSessions[f.Session] {
			s.t.Errorf("seed %d: %s was taken from a session that had not ended", s.seed, f.IdempotencyKey())
		}
	}
	s.replica.state.PopNewFirings(Session{}, false)
}

// run simulates a time span, the last part of it without faults.
func (s *simulation) run(length time.Duration) {
	faultsEnd := length - faultFreePeriod
	for s.now = simulationTick; s.now < length; s.now += simulationStep {
		if s.now < faultsEnd {
			s.injectFault()
		} else if s.now-simulationStep < faultsEnd {
			s.healAll()
		}
		for _, n := range s.instances {
			s.replicate(n)
		}
		if s.now%simulationTick == 0 {
			s.tickLeader()
			for _, n := range s.instances {
				s.tickInstance(n)
			}
		}
		s.finishJobs()
	}
}

// replicate applies the entries at an instance that it has not applied yet.
func (s *simulation) replicate(n *instance) {
	if !n.up(s.now) || s.now < n.laggingUntil || s.now < n.partitionedUntil {
		return
	}
	for n.applied < len(s.log) {
		n.apply(s.log[n.applied])
		if n.epoch != 0 {
			n.firings = append(n.firings, n.state.PopNewFirings(n.session(), false)...)
		}
	}
}

// tickInstance lets an instance propose commands and start the jobs of its firings.
func (s *simulation) tickInstance(n *instance) {
	if !n.up(s.now) {
		return
	}
	n.scheduler.Configure(n.state.Policy())
	if n.grantIndex > 0 && n.applied >= n.grantIndex {
		n.leaseEnd, n.grantIndex = max(n.leaseEnd, n.grantedEnd), 0
	}
	in := Input{Now: s.now, LeaseDuration: simulationLease}
	in.Retryable = func(t *Trigger, ago time.Duration) bool {
		return t.Class == "any" || t.Class == "key" && ago < 20*time.Second
	}
	if n.epoch != 0 && s.now < n.leaseEnd && n.clusterTime > 0 {
		in.Session, in.ClusterTime = n.session(), (n.clusterTime+int64(s.now-n.clusterTimeAt))/1e9
	}
	for _, c := range n.scheduler.Evaluate(n.state, in) {
		n.sent = append(n.sent, sentCommand{c, s.now + time.Duration(s.rng.IntN(100))*time.Millisecond})
	}
	// A firing's job is started in the step in which the lease was checked.
	waiting := n.firings[:0]
	for _, f := range n.firings {
		now, ok := n.state.OpenFiring(f.Number)
		switch {
		case !ok || now.Session != f.Session:
		case f.Session.Epoch != n.epoch:
			n.scheduler.RecordResult(f.Number, f.Session, Released) // never started
		case s.now >= n.leaseEnd:
			waiting = append(waiting, f)
		default:
			s.startJob(n, f)
		}
	}
	n.firings = waiting
}

// startJob records the start of a firing's job and checks that it is not early.
func (s *simulation) startJob(n *instance, f Firing) {
	// The allowed clock skew is 1 s, and clock readings are up to a lease old.
	if !s.steppedForward && s.speed == 1 && f.At*1e9 > s.trueTime()+int64(2*time.Second) {
		s.t.Errorf("seed %d: %s was fired %v early", s.seed, f.IdempotencyKey(),
			time.Duration(f.At*1e9-s.trueTime()))
	}
	s.starts[f.IdempotencyKey()] = append(s.starts[f.IdempotencyKey()], jobStart{n.id, n.epoch, s.now,
		f.Number, f.Redelivered})
	duration := time.Duration(s.rng.IntN(300)) * time.Millisecond
	s.jobs = append(s.jobs, runningJob{n, f, n.session(), true, s.now + duration, Succeeded})
}

// finishJobs ends the jobs that are due and reports the results of those whose process is alive.
func (s *simulation) finishJobs() {
	running := s.jobs[:0]
	for _, j := range s.jobs {
		switch {
		case s.now < j.endsAt || !j.instance.up(s.now) && j.processAlive:
			running = append(running, j)
		case j.processAlive:
			j.instance.scheduler.RecordResult(j.firing.Number, j.session, j.result)
		}
	}
	s.jobs = running
}

// simulationRuns returns the number of seeds to run: 20, unless the environment variable STORIES is set.
func simulationRuns() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("STORIES"), 10, 32); err == nil {
		return n
	}
	return 20
}

// Under random faults, no occurrence is intended twice, omitted or fired early, and no job is started twice
// that may not be sent again.
func TestFiringsAreExactlyOnceUnderRandomFaults(t *testing.T) {
	intended, faults := 0, 0
	for seed := range simulationRuns() {
		s := newSimulation(t, seed+1)
		s.run(35 * time.Second)
		intended += s.audit()
		faults += s.faults
		if t.Failed() {
			break
		}
	}
	t.Logf("%d occurrences, %d faults", intended, faults)
	if intended < 1000 {
		t.Error("too few occurrences to audit, want at least 1000")
	}
}
