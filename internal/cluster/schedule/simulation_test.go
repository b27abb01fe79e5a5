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

// simulation runs a group in virtual time: a log that all instances apply, each at its own pace, sessions and
// leases as package rollout keeps them, and faults: instances that stall, crash, are partitioned, join and
// depart, clocks that step. An audit of what all of them did follows. A seed determines the run.
type simulation struct {
	t         testing.TB
	rng       *rand.Rand
	seed      uint64
	now       time.Duration // of the monotonic clock
	startUnix int64         // true time of day at the start, Unix seconds
	speed     int64         // seconds of the time of day in one of the monotonic clock's
	log       []logEntry
	replica   replica // with all of the log applied
	leader    *Leader
	instances []*instance
	epoch     uint64 // of the newest session
	jobs      []runningJob
	zones     *calendar.ZoneDB
	// otherZones are zone rules that one instance may have instead.
	otherZones *calendar.ZoneDB
	policy     Policy
	starts     map[string][]jobStart // by idempotency key
	faults     int
	clockStep  time.Duration // of all clocks
	// steppedForward is set once all clocks have stepped forward: the cluster time is then ahead of the true
	// time for good.
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
	sessions []placement.Member // that are open
	ended    []Session
}

// replica is a State as its host keeps it.
type replica struct {
	state   *State
	members []placement.Member // with open sessions
	applied int                // entries
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

	// Until when it applies nothing, does nothing, is down, and is partitioned from the others.
	laggingUntil, stalledUntil, downUntil, partitionedUntil time.Duration
	departed                                                bool // from the group, for now
	clockSkew                                               time.Duration
	hasOtherZones                                           bool

	// Its lease as it counts it: it may act until leaseEnd. A grant that would end at grantedEnd counts once
	// grantIndex entries are applied; grantIndex 0: there is none; below 0: the session's process is no more.
	leaseEnd, grantedEnd time.Duration
	grantIndex           int
	clusterTime          int64 // Unix nanoseconds, as granted last, at clusterTimeAt; 0: not known
	clusterTimeAt        time.Duration
	// expiresAt is when its lease has certainly run out, as the leader counts it.
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
	// awaited is set as long as the process runs that waits for the job.
	awaited bool
	endsAt  time.Duration
	result  Result
}

const (
	simulationStep  = 10 * time.Millisecond
	simulationTick  = 50 * time.Millisecond
	simulationLease = 500 * time.Millisecond
	// calmPeriod is how long a run goes on without faults: an orphaned firing that may not be sent again is
	// given up after ten leases, 5 s.
	calmPeriod = 10 * time.Second
)

// trueTime is the true time of day, Unix nanoseconds.
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
	// Some begin on a night in which the clocks change, or before a leap day.
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

// policyVariants is how many policies policyVariant has.
const policyVariants = 4

// policyVariant is a policy: one trigger differs between variants, another is in some only.
func (s *simulation) policyVariant(variant int) Policy {
	often := "*/5 * * * * *"
	if s.speed > 1 {
		often = "* * * * *"
	}
	values := map[string]string{"zone": "Europe/Berlin", "bound": "1h",
		"trigger.a": often + " class=any fold=both late=24h",
		"trigger.b": often + " class=once gap=shift fold=both late=24h",
		"trigger.c": fmt.Sprintf("*/2 * * * * class=key fold=both late=24h path=/%d", variant/2),
		"trigger.d": "0 * 28,29 * * class=once fold=both leap=last late=24h spread=90s"}
	if s.speed == 1 {
		values["bound"] = "1s"
	}
	if variant%2 == 1 {
		values["trigger.A"] = often + " class=any late=24h fold=both"
	}
	return mustParsePolicy(s.t, values, KnownNames{Classes: []string{"any", "once", "key"}})
}

// appendEntry appends an entry to the log: the group has agreed on it.
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
		taken := open && now.Session != f.Session || !open && e.command.Kind == ResolveOrphans
		if taken && !s.endedSessions[f.Session] {
			s.t.Errorf("seed %d: %s was taken from a session that had not ended", s.seed, f.IdempotencyKey())
		}
	}
	s.replica.state.PopNewFirings(Session{}, false)
}

func (s *simulation) run(length time.Duration) {
	calmFrom := length - calmPeriod
	for s.now = simulationTick; s.now < length; s.now += simulationStep {
		if s.now < calmFrom {
			s.injectFault()
		} else if s.now-simulationStep < calmFrom {
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

// replicate has an instance apply the entries that it does not have.
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
	// A firing's job is started in the turn in which the clock was read.
	waiting := n.firings[:0]
	for _, f := range n.firings {
		now, ok := n.state.OpenFiring(f.Number)
		switch {
		case !ok || now.Session != f.Session:
		case f.Session.Epoch != n.epoch:
			n.scheduler.RecordResult(f.Number, f.Session, Released) // it runs, and has not started it
		case s.now >= n.leaseEnd:
			waiting = append(waiting, f)
		default:
			s.startJob(n, f)
		}
	}
	n.firings = waiting
}

func (s *simulation) startJob(n *instance, f Firing) {
	// The allowed skew is a second, and readings are up to a lease old.
	if !s.steppedForward && s.speed == 1 && f.At*1e9 > s.trueTime()+int64(2*time.Second) {
		s.t.Errorf("seed %d: %s was fired %v early", s.seed, f.IdempotencyKey(),
			time.Duration(f.At*1e9-s.trueTime()))
	}
	s.starts[f.IdempotencyKey()] = append(s.starts[f.IdempotencyKey()], jobStart{n.id, n.epoch, s.now,
		f.Number, f.Redelivered})
	took := time.Duration(s.rng.IntN(300)) * time.Millisecond
	s.jobs = append(s.jobs, runningJob{n, f, n.session(), true, s.now + took, Succeeded})
}

func (s *simulation) finishJobs() {
	running := s.jobs[:0]
	for _, j := range s.jobs {
		switch {
		case s.now < j.endsAt || !j.instance.up(s.now) && j.awaited:
			running = append(running, j)
		case j.awaited:
			j.instance.scheduler.RecordResult(j.firing.Number, j.session, j.result)
		}
	}
	s.jobs = running
}

// simulationRuns is how many seeds are run: 20, or as many as the environment sets.
func simulationRuns() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("STORIES"), 10, 32); err == nil {
		return n
	}
	return 20
}

// Under no sequence of faults is an occurrence intended twice, omitted, started twice where it may not be,
// or started early.
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
		t.Error("there was next to nothing to audit")
	}
}
