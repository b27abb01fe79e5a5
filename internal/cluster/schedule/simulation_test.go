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

// A story plays a group in virtual time: a log that all apply, each at its own pace, sessions and leases
// as rollout keeps them, instances that stall, die, are cut off, come and go, clocks that step; and
// audits what all of them did. A seed is a story.
type story struct {
	t      testing.TB
	rng    *rand.Rand
	seed   uint64
	now    time.Duration // of the clock that nobody sets
	begin  int64         // of the world's true time, Unix seconds
	speed  int64         // seconds of the wall in one of the clock's
	log    []entry
	truth  *State // with all of the log applied
	lead   *Leader
	nodes  []*one
	epoch  uint64
	jobs   []job
	zones  *calendar.ZoneDB
	other  *calendar.ZoneDB
	policy Policy
	acts   map[string][]act
	faults int
	jump   time.Duration // of all clocks
	// All clocks have stepped forward once: the fleet's time is ahead of the true one for good.
	stepped bool
	gone    map[Session]bool // sessions that have ended
}

type entry struct {
	kind     string // command, open, lapse, policy
	c        Command
	policy   Policy
	sessions []placement.Member
	gone     []Session
}

// one is an instance.
type one struct {
	id            uint64
	state         *State
	applied       int
	lag           time.Duration // until when it applies nothing
	stalled, dead time.Duration // until when
	cut           time.Duration // until when it hears nothing and is not heard
	away          bool          // it has left the group for now
	owner         *Scheduler
	epoch         uint64
	until         time.Duration // its right ends
	right         int           // from that entry of the log on
	granted       time.Duration // that would count then
	fleet         int64         // ns, as told last
	fleetAt       time.Duration
	skew          time.Duration
	mine          []Firing
	expires       time.Duration // when its lease has surely run out, as the leader counts
	reported      time.Duration
	sent          []Command
	sentAt        []time.Duration
	oldRules      bool
}

type act struct {
	by     uint64
	epoch  uint64
	at     time.Duration
	number uint64
	repeat bool
}

type job struct {
	n      *one
	item   Firing
	seat   Session
	epoch  uint64 // of the life that waits for it
	ends   time.Duration
	result Result
}

const (
	tickEvery = 50 * time.Millisecond
	leaseFor  = 500 * time.Millisecond
)

func (s *story) true() int64 { return s.begin*1e9 + int64(s.now)*s.speed }

func (n *one) seat() Session { return Session{Member: n.id, Epoch: n.epoch} }

func (n *one) up(now time.Duration) bool { return now >= n.stalled && now >= n.dead && !n.away }

func newStory(t testing.TB, seed uint64) *story {
	s := &story{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 31)), zones: calendar.NewZoneDB(),
		acts: map[string][]act{}, gone: map[Session]bool{}, truth: NewState(), speed: 1}
	// Some begin on a night in which the clocks change, or before a leap day.
	begins := []string{"2026-03-29T00:59Z", "2026-10-25T00:29Z", "2028-02-28T23:59Z", "2026-06-01T03:59Z",
		"2028-02-29T23:59Z", "2026-10-25T00:59Z"}
	begin, _ := time.Parse("2006-01-02T15:04Z", begins[s.rng.IntN(len(begins))])
	s.begin = begin.Unix() + int64(s.rng.IntN(50))
	s.speed = []int64{1, 1, 20, 300}[s.rng.IntN(4)]
	s.other = calendar.NewZoneDBWithLoader(func(name string) (*time.Location, error) {
		return time.FixedZone(name, 3600), nil
	})
	s.policy = s.words(0)
	for i := range 2 + s.rng.IntN(4) {
		s.nodes = append(s.nodes, &one{id: uint64(i + 1), state: NewState(),
			owner: NewScheduler(s.zones)})
	}
	if s.rng.IntN(5) == 0 {
		n := s.nodes[len(s.nodes)-1]
		n.oldRules, n.owner = true, NewScheduler(s.other)
	}
	s.put(entry{kind: "policy", policy: s.policy})
	return s
}

// words is a policy: a trigger is changed with each set, another comes and goes.
func (s *story) words(set int) Policy {
	every := "*/5 * * * * *"
	if s.speed > 1 {
		every = "* * * * *"
	}
	v := map[string]string{"zone": "Europe/Berlin", "bound": "1h",
		"trigger.a": every + " class=any fold=both late=24h",
		"trigger.b": every + " class=once gap=shift fold=both late=24h",
		"trigger.c": fmt.Sprintf("*/2 * * * * class=key fold=both late=24h path=/%d", set/2),
		"trigger.d": "0 * 28,29 * * class=once fold=both leap=last late=24h spread=90s"}
	if s.speed == 1 {
		v["bound"] = "1s"
	}
	if set%2 == 1 {
		v["trigger.A"] = every + " class=any late=24h fold=both"
	}
	p, wrong := ParsePolicy(v, KnownNames{Classes: []string{"any", "once", "key"}})
	if len(wrong) > 0 {
		s.t.Fatal(wrong)
	}
	return p
}

// put puts an entry into the log: it is agreed on.
func (s *story) put(e entry) {
	if e.kind != "command" && e.kind != "policy" {
		e.sessions = nil
		for _, n := range s.nodes {
			if n.epoch != 0 {
				e.sessions = append(e.sessions, placement.Member{Session: n.seat(),
					Name: strconv.Itoa(int(n.id))})
			}
		}
	}
	for _, x := range e.gone {
		s.gone[x] = true
	}
	s.log = append(s.log, e)
	before := s.truth.OpenFirings()
	apply(s.truth, e)
	for _, i := range before {
		now, open := s.truth.OpenFiring(i.Number)
		taken := open && now.Session != i.Session || !open && e.c.Kind == ResolveOrphans
		if taken && !s.gone[i.Session] {
			s.t.Errorf("seed %d: %s was taken from a session that had not ended", s.seed, i.IdempotencyKey())
		}
	}
	s.truth.TakeNewFirings(Session{}, false)
}

func apply(st *State, e entry) {
	switch e.kind {
	case "policy":
		st.Configure(&e.policy)
	case "command":
		_ = st.Apply(e.c)
	default:
		st.OrphanFirings(func(x Session) bool {
			for _, g := range e.gone {
				if g == x {
					return true
				}
			}
			return false
		})
	}
	if e.sessions != nil || e.kind == "sessions" {
		st.members(e.sessions)
	}
	st.members(nil)
}

// members is what the state's host keeps of sessions; nil: as they were.
func (s *State) members(list []placement.Member) {
	if list == nil {
		list = seatedBefore[s]
	}
	seatedBefore[s] = list
	s.SetOwners(list)
}

var seatedBefore = map[*State][]placement.Member{}

func (s *story) run(length time.Duration) {
	s.lead = NewLeader(1)
	// From here on all is well: an orphan that may not be repeated is given up after ten leases, 5 s.
	stop := length - 10*time.Second
	for s.now = tickEvery; s.now < length; s.now += 10 * time.Millisecond {
		if s.now < stop {
			s.fault()
		} else if s.now-10*time.Millisecond < stop {
			s.heal()
		}
		for _, n := range s.nodes {
			s.follow(n)
		}
		if s.now%tickEvery == 0 {
			s.leads()
			for _, n := range s.nodes {
				s.tick(n)
			}
		}
		s.work()
	}
}

func (s *story) heal() {
	for _, n := range s.nodes {
		n.away, n.cut, n.lag = false, 0, 0
		n.stalled, n.dead = min(n.stalled, s.now), min(n.dead, s.now)
		n.skew = 0
	}
	s.jump = max(s.jump, 0)
}

func (s *story) fault() {
	if s.rng.IntN(60) != 0 {
		return
	}
	s.faults++
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	span := time.Duration(5*(1<<s.rng.IntN(11))) * time.Millisecond
	switch s.rng.IntN(9) {
	case 0, 1:
		n.stalled = s.now + span
	case 2:
		s.kill(n, s.now+span)
	case 3:
		n.cut = s.now + span
	case 4:
		n.lag = s.now + span
	case 5:
		if n.away = !n.away && s.group(nil).Size > 3; n.away {
			s.kill(n, s.now)
		}
	case 6:
		// One clock is off, of three or more.
		if n = s.nodes[0]; s.group(nil).Size > 2 {
			n.skew = []time.Duration{0, 5 * time.Minute, -time.Hour, time.Hour}[s.rng.IntN(4)]
		}
	case 7:
		if s.rng.IntN(4) == 0 {
			s.jump = []time.Duration{0, time.Hour, -time.Hour}[s.rng.IntN(3)] // all clocks step
			s.stepped = s.stepped || s.jump > 0
		}
		s.lead = NewLeader(s.lead.term + 1)
	case 8:
		s.policy = s.words(s.rng.IntN(4))
		s.put(entry{kind: "policy", policy: s.policy})
	}
}

// kill ends a life: what it knew is gone but for the log.
func (s *story) kill(n *one, until time.Duration) {
	n.dead, n.mine, n.sent, n.sentAt = until, nil, nil, nil
	n.until, n.granted, n.fleet = 0, 0, 0
	zones := s.zones
	if n.oldRules {
		zones = s.other
	}
	n.owner = NewScheduler(zones)
	n.reported = 0
	n.state.newFirings = nil
	for k := range s.jobs {
		if s.jobs[k].n == n {
			s.jobs[k].epoch = 0 // nobody waits for it
		}
	}
	if n.epoch != 0 {
		// Nobody was told: its session ends by its lease, or its return.
		n.expires = max(n.expires, s.now)
		n.right = -1
	}
}

// leads is the leader's tick: sessions, and the schedule's judgement. Commands that were sent are agreed
// on.
func (s *story) leads() {
	var members []placement.Member
	for _, n := range s.nodes {
		if n.epoch != 0 && s.now > n.expires {
			gone := n.seat()
			n.epoch = 0
			s.put(entry{kind: "sessions", gone: []Session{gone}})
		}
		if n.up(s.now) && s.now >= n.cut && (n.epoch == 0 || n.right < 0) {
			// A new life, or a new session of one whose old one ended.
			gone := n.seat()
			s.epoch++
			n.epoch, n.right, n.until, n.granted = s.epoch, 0, 0, 0
			n.expires = s.now + 2*leaseFor
			s.put(entry{kind: "sessions", gone: []Session{gone}})
		}
		if n.epoch != 0 {
			members = append(members, placement.Member{Session: n.seat(), Name: strconv.Itoa(int(n.id))})
		}
	}
	for _, n := range s.nodes {
		if !n.up(s.now) || s.now < n.cut {
			continue
		}
		wall := s.true() + int64(n.skew) + int64(s.jump)
		s.lead.ObserveReading(
			s.now,
			n.id,
			ClockReading{WallClock: wall, PolicyVersion: n.owner.policy.Version,
				ZoneRulesVersion: n.owner.ZoneRulesVersion()},
		)
		if n.epoch != 0 && s.now-n.reported >= leaseFor/4 {
			n.reported = s.now
			n.granted, n.right = s.now-time.Duration(s.rng.IntN(10))*time.Millisecond+leaseFor, len(s.log)
			n.expires = s.now + leaseFor + leaseFor/2
			if f := s.lead.ClusterTime(s.now, s.truth, s.group(members)); f > n.fleet {
				n.fleet, n.fleetAt = f, s.now
			}
		}
	}
	if c, ok := s.lead.Evaluate(s.now, s.truth, s.group(members)); ok {
		s.put(entry{kind: "command", c: c})
	}
	for _, n := range s.nodes {
		for k, c := range n.sent {
			// Some are lost, some come late, some twice.
			if s.now >= n.sentAt[k] && c.Kind != NoCommand {
				if s.rng.IntN(10) != 0 && s.now >= n.cut {
					s.put(entry{kind: "command", c: c})
				}
				if s.rng.IntN(10) != 0 {
					n.sent[k].Kind = NoCommand
				}
			}
		}
		if len(n.sent) > 200 {
			n.sent, n.sentAt = nil, nil
		}
	}
}

func (s *story) group(members []placement.Member) Group {
	g := Group{Members: members, LeaseDuration: leaseFor}
	for _, n := range s.nodes {
		if !n.away {
			g.Size++
		}
	}
	return g
}

// follow has an instance apply what it has of the log.
func (s *story) follow(n *one) {
	if !n.up(s.now) || s.now < n.lag || s.now < n.cut {
		return
	}
	for n.applied < len(s.log) {
		apply(n.state, s.log[n.applied])
		n.applied++
		if n.epoch != 0 {
			n.mine = append(n.mine, n.state.TakeNewFirings(n.seat(), false)...)
		}
	}
}

func (s *story) tick(n *one) {
	if !n.up(s.now) {
		return
	}
	n.owner.Configure(n.state.Policy())
	if n.right > 0 && n.applied >= n.right {
		n.until, n.right = max(n.until, n.granted), 0
	}
	v := Input{Now: s.now, LeaseDuration: leaseFor, Retryable: func(t *Trigger, ago time.Duration) bool {
		return t.Class == "any" || t.Class == "key" && ago < 20*time.Second
	}}
	if n.epoch != 0 && s.now < n.until && n.fleet > 0 {
		v.Session, v.ClusterTime = n.seat(), (n.fleet+int64(s.now-n.fleetAt))/1e9
	}
	for _, c := range n.owner.Evaluate(n.state, v) {
		n.sent = append(n.sent, c)
		n.sentAt = append(n.sentAt, s.now+time.Duration(s.rng.IntN(100))*time.Millisecond)
	}
	// What it has is begun in the turn in which the clock was looked at.
	rest := n.mine[:0]
	for _, i := range n.mine {
		now, ok := n.state.OpenFiring(i.Number)
		switch {
		case !ok || now.Session != i.Session:
		case i.Session.Epoch != n.epoch:
			n.owner.RecordResult(i.Number, i.Session, Released) // it lives, and has not begun it
		case s.now >= n.until:
			rest = append(rest, i)
		default:
			s.begin1(n, i)
		}
	}
	n.mine = rest
}

func (s *story) begin1(n *one, i Firing) {
	// The bound is a second, and readings are up to a lease old.
	if !s.stepped && s.speed == 1 && i.At*1e9 > s.true()+int64(2*time.Second) {
		s.t.Errorf(
			"seed %d: %s was fired %v early",
			s.seed,
			i.IdempotencyKey(),
			time.Duration(i.At*1e9-s.true()),
		)
	}
	s.acts[i.IdempotencyKey()] = append(
		s.acts[i.IdempotencyKey()],
		act{n.id, n.epoch, s.now, i.Number, i.Redelivered},
	)
	took := time.Duration(s.rng.IntN(300)) * time.Millisecond
	s.jobs = append(s.jobs, job{n, i, n.seat(), n.epoch, s.now + took, Succeeded})
}

// work ends jobs.
func (s *story) work() {
	rest := s.jobs[:0]
	for _, j := range s.jobs {
		switch {
		case s.now < j.ends || !j.n.up(s.now) && j.epoch != 0:
			rest = append(rest, j)
		case j.epoch != 0:
			j.n.owner.RecordResult(j.item.Number, j.seat, j.result)
		}
	}
	s.jobs = rest
}

func (s *story) audit() (intended int) {
	seen := map[string]uint64{}
	last := map[string]int64{}
	var events []Event
	events = append(events, s.events()...)
	ended := map[uint64]Result{}
	by := map[string]Trigger{}
	for set := range 4 {
		p := s.words(set)
		for _, t := range p.Triggers {
			by[t.Name] = t
		}
	}
	for _, e := range events {
		switch e.Kind {
		case "intend":
			intended++
			if was, twice := seen[e.Key]; twice {
				s.t.Errorf("seed %d: %s was intended as %d and %d", s.seed, e.Key, was, e.Number)
			}
			seen[e.Key] = e.Number
			last[e.Key] = e.At
		case "pass":
			s.t.Errorf("seed %d: %d occurrences of %s were passed over, and none may be that late", s.seed,
				e.At, e.Key)
		case "settle":
			if r, twice := ended[e.Number]; twice {
				s.t.Errorf("seed %d: %s has ended as %v and as %v", s.seed, e.Key, r, e.Result)
			}
			ended[e.Number] = e.Result
		}
	}
	for key, acts := range s.acts {
		name := key[:1]
		if by[name].Class == "once" && len(acts) > 1 {
			s.t.Errorf("seed %d: %s, which may not be repeated, was begun %d times: %+v", s.seed, key,
				len(acts), acts)
		}
		for k, a := range acts {
			if seen[key] != a.number || (k > 0) != a.repeat && k > 0 {
				s.t.Errorf("seed %d: %s was begun without intent, or again without being taken over: %+v",
					s.seed, key, acts)
			}
		}
	}
	for key, n := range seen {
		r, ok := ended[n]
		switch {
		case ok && r == Succeeded && len(s.acts[key]) == 0:
			s.t.Errorf("seed %d: %s has ended as done, and nobody began it", s.seed, key)
		case !ok && s.truth.open[n] != nil && s.now-s.dueAt(last[key]) > 9*time.Second && s.speed == 1:
			s.t.Errorf("seed %d: %s has no outcome though all has been well for long", s.seed, key)
		}
	}
	s.complete(events)
	return intended
}

func (s *story) dueAt(at int64) time.Duration { return time.Duration(at-s.begin) * time.Second }

// complete looks whether triggers that were never changed have no occurrence left out: what came after
// each is what the calendar says.
func (s *story) complete(events []Event) {
	zone, _ := s.zones.Lookup("Europe/Berlin")
	for _, name := range []string{"a", "b", "d"} {
		t := s.policy.Triggers[s.policy.indexOf(name)]
		plan, err := calendar.Parse(t.Expression, zone, t.Rules)
		if err != nil {
			s.t.Fatal(err)
		}
		at := int64(0)
		for _, e := range events {
			if e.Kind != "intend" || e.Key[:1] != name {
				continue
			}
			if at > 0 {
				if o, _ := plan.Next(at); o.At != e.At {
					s.t.Errorf("seed %d: after %d came %s at %d; the calendar has %d (%v)", s.seed, at, e.Key,
						e.At, o.At, o.LocalTime)
				}
			}
			at = e.At
		}
		if at > 0 {
			if o, ok := plan.Next(at); ok &&
				o.At+t.jitterSeconds() < s.truth.ClusterTime-30*max(s.speed/10, 1) {
				s.t.Errorf("seed %d: %s at %d has not come by %d", s.seed, name, o.At, s.truth.ClusterTime)
			}
		}
	}
}

func (s *story) events() []Event { return s.truth.events }

func stories(t testing.TB) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("STORIES"), 10, 32); err == nil {
		return n
	}
	return 20
}

// In no story is an occurrence intended twice, left out, begun twice where it may not be, or early.
func TestStories(t *testing.T) {
	intended, faults := 0, 0
	for seed := range stories(t) {
		s := newStory(t, seed+1)
		s.run(35 * time.Second)
		intended += s.audit()
		faults += s.faults
		clear(seatedBefore)
		if t.Failed() {
			break
		}
	}
	t.Logf("%d occurrences, %d faults", intended, faults)
	if intended < 1000 {
		t.Error("there was next to nothing to audit")
	}
}
