package ratelimit

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
)

// simulation runs instances in virtual time, each with a limiter and an authority. Messages are lost,
// duplicated, delayed and reordered; clocks run at different rates; instances stall, crash, restart and apply
// views late. It provides the guarantees of package consensus on leases and views, and no others.
type simulation struct {
	t                 testing.TB
	rng               *rand.Rand
	now               time.Duration
	lease             time.Duration
	events            []event // pending, by time
	nodes             []*simNode
	epoch             uint64
	view              placement.View // the newest agreed view
	log               []placement.View
	policy            Policy
	admissions        map[Key][]time.Duration
	referenceBuckets  map[Key]*referenceBucket
	fastestClock      float64 // rate of the fastest clock
	violation         string
	lossy             bool
	intermittentCalls bool // each account has pauses without calls
	onlyViewChanges   bool // inject no other faults
	admitted          int
}

type event struct {
	at  time.Duration
	run func()
}

type simNode struct {
	sim             *simulation
	id              uint64
	startCount      int
	session         placement.Session
	alive           bool
	stalledUntil    time.Duration
	clockRate       float64
	clockStart      time.Duration
	limiter         *Limiter
	authority       *Authority
	appliedViews    int
	leaseUntil      time.Duration
	renewedAt       time.Duration // on the simulation's clock
	partitioned     bool
	outboundBlocked bool          // messages that it sends are held back
	blockedMessages []func()      // held deliveries, in the order in which they were sent
	logDelayedUntil time.Duration // until then it receives no log entries, although it is connected
}

func (s *simulation) after(d time.Duration, f func()) {
	e := event{s.now + d, f}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	s.events = slices.Insert(s.events, i, e)
}

// after runs a function at an instance after a time, or when a stall ends later. The function is dropped if
// the process has ended by then.
func (n *simNode) after(d time.Duration, f func()) {
	startCount := n.startCount
	n.sim.after(d, func() {
		if n.startCount != startCount || !n.alive {
			return
		}
		if n.stalledUntil > n.sim.now {
			n.after(n.stalledUntil-n.sim.now, f)
			return
		}
		f()
	})
}

func (n *simNode) clock() time.Duration {
	return time.Duration(float64(n.sim.now-n.clockStart)*n.clockRate) + time.Hour
}

func (n *simNode) start() {
	n.startCount++
	n.alive, n.stalledUntil, n.leaseUntil = true, 0, 0
	n.clockStart = n.sim.now - time.Duration(n.sim.rng.Int64N(int64(time.Second)))
	n.sim.epoch++
	n.session = placement.Session{Member: n.id, Epoch: n.sim.epoch}
	n.limiter, n.authority = NewLimiter(n.clock()), NewAuthority()
	n.limiter.Configure(n.clock(), n.sim.policy)
	n.authority.Configure(n.clock(), n.sim.policy)
	n.appliedViews = max(len(n.sim.log)-1, 0) // it starts from a snapshot, so earlier views are skipped
	n.tick()
}

func (n *simNode) tick() {
	n.applyViews()
	now := n.clock()
	requests, confirmations := n.limiter.Tick(now)
	for _, owner := range sortedSessions(requests) {
		n.send(owner, func(to *simNode, from placement.Session) {
			for _, r := range requests[owner] {
				to.authority.ReceiveRequest(to.clock(), from, r)
			}
		})
	}
	for _, owner := range sortedSessions(confirmations) {
		for _, c := range confirmations[owner] {
			n.send(owner, func(to *simNode, from placement.Session) {
				to.authority.ReceiveDrainConfirmation(to.clock(), from, c)
			})
		}
	}
	transfers := n.authority.PendingTransfers()
	for _, owner := range sortedSessions(transfers) {
		sent := *transfers[owner]
		n.send(owner, func(to *simNode, from placement.Session) {
			received := sent
			received.Shards = maps.Clone(sent.Shards)
			to.authority.ReceiveTransfer(to.clock(), &received)
		})
	}
	if now < n.leaseUntil {
		n.sendGrants(n.authority.Tick(now))
	}
	n.after(n.sim.policy.TickInterval, n.tick)
}

func (n *simNode) sendGrants(grants map[placement.Session][]Grant) {
	n.checkLevels(grants)
	for _, borrower := range sortedSessions(grants) {
		n.send(borrower, func(to *simNode, from placement.Session) {
			for _, g := range grants[borrower] {
				to.limiter.ReceiveGrant(to.clock(), from, g)
			}
		})
	}
}

// sortedSessions returns the keys of a map in sorted order, so that runs are reproducible.
func sortedSessions[V any](m map[placement.Session]V) []placement.Session {
	return slices.SortedFunc(maps.Keys(m), func(a, b placement.Session) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Epoch, b.Epoch))
	})
}

// send delivers a message if its session is still the receiver's current one when the message arrives.
func (n *simNode) send(session placement.Session, receive func(to *simNode, from placement.Session)) {
	s, from := n.sim, n.session
	for _, to := range s.nodes {
		if to.id != session.Member {
			continue
		}
		deliver := func() {
			if to.session == session {
				receive(to, from)
			}
		}
		copies := 1
		if s.lossy {
			copies = []int{0, 1, 1, 1, 1, 1, 1, 1, 2}[s.rng.IntN(9)]
		}
		for range copies {
			delay := time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
			if s.lossy && s.rng.IntN(10) == 0 {
				delay = time.Duration(s.rng.Int64N(int64(4 * time.Second)))
			}
			if (n.partitioned || to.partitioned) && to != n {
				continue
			}
			if n.outboundBlocked && to != n {
				n.blockedMessages = append(n.blockedMessages, func() { to.after(0, deliver) })
				continue
			}
			to.after(delay, deliver)
		}
	}
}

// applyViews applies pending views at an instance. If it has then applied all of them, as its leader has, it
// renews its lease.
func (n *simNode) applyViews() {
	s := n.sim
	if n.partitioned {
		return
	}
	upTo := len(s.log)
	if s.now < n.logDelayedUntil {
		return
	}
	if s.lossy && s.rng.IntN(4) == 0 && n.appliedViews < upTo {
		upTo = n.appliedViews + s.rng.IntN(upTo-n.appliedViews) // it applies only some of them
	}
	for ; n.appliedViews < upTo; n.appliedViews++ {
		v := s.log[n.appliedViews]
		self := placement.Session{}
		for _, m := range v.Members {
			if m.Session == n.session {
				self = m.Session
			}
		}
		t := placement.NewTable(v)
		n.limiter.SetView(n.clock(), t, self)
		n.authority.SetView(n.clock(), t, self, s.lease, false)
	}
	if n.appliedViews == len(s.log) && s.inView(n) && !n.outboundBlocked {
		n.renewedAt = s.now
		n.leaseUntil = n.clock() + s.lease // requested now, from a leader that has applied the same views
	}
}

// setView adds a newly agreed view to the log.
func (s *simulation) setView(members []placement.Member, expired ...placement.Session) {
	s.view = placement.View{Number: uint64(len(s.log) + 1), Members: members, Expired: expired}
	slices.SortFunc(s.view.Members, func(a, b placement.Member) int { return int(a.Member) - int(b.Member) })
	s.log = append(s.log, s.view)
}

// openSession adds an instance to the view. Any earlier session of the instance is marked as expired, since
// its process has ended.
func (s *simulation) openSession(n *simNode) {
	var expired []placement.Session
	for _, m := range s.view.Members {
		if m.Member == n.id {
			expired = append(expired, m.Session)
		}
	}
	s.setView(append(s.others(n), placement.Member{Session: n.session}), expired...)
}

func (s *simulation) others(n *simNode) []placement.Member {
	isNode := func(m placement.Member) bool { return m.Member == n.id }
	return slices.DeleteFunc(slices.Clone(s.view.Members), isNode)
}

// inView reports whether an instance's session is in the newest view.
func (s *simulation) inView(n *simNode) bool {
	return slices.ContainsFunc(s.view.Members,
		func(m placement.Member) bool { return m.Session == n.session })
}

func (s *simulation) closeSession(n *simNode, expired ...placement.Session) {
	s.setView(s.others(n), expired...)
}

// call makes a client's call at a front and reports whether it is admitted. Like admission control, the front
// admits only while its lease is valid.
func (n *simNode) call(account, class string) bool {
	s, now := n.sim, n.clock()
	if !n.alive || n.stalledUntil > s.now || now >= n.leaseUntil {
		return false
	}
	_, ok := n.limiter.Admit(now, account, class)
	if ok {
		s.admitted++
		for _, k := range []Key{{Account: account}, {account, class}} {
			if _, limited := s.policy.LimitOf(k); limited {
				s.admissions[k] = append(s.admissions[k], s.now)
				s.referenceBucketOf(k).level--
			}
		}
	}
	return ok
}

// audit describes the first admission that exceeds a limit if owners' clocks run at up to clockRate. It
// returns an empty string if there is none.
func (s *simulation) audit(clockRate float64) string {
	for k, times := range s.admissions {
		l, _ := s.policy.LimitOf(k)
		level, last := l.Burst, time.Duration(0)
		for i, at := range times {
			level = min(l.Burst, level+l.Rate*clockRate*(at-last).Seconds()) - 1
			if last = at; level < -1e-6 {
				return fmt.Sprintf("bucket %v: admission %d at %v exceeds %v jobs/s with a burst of %v", k, i,
					at, l.Rate, l.Burst)
			}
		}
	}
	return ""
}

var testSection = map[string]string{"tick": "50ms", "term": "300ms", "default": "40/s burst=40",
	"account.a": "100/s burst=50", "account.b": "20/s burst=10", "account.c": "60/s burst=40 floor=0.5",
	"account.d": "10/s burst=15 floor=equal", "account.a@x": "15/s burst=5", "account.f": "5/s burst=30"}

func newSimulation(t testing.TB, seed uint64, nodes int, lossy bool) *simulation {
	t.Helper()
	values := maps.Clone(testSection)
	values["parts"] = fmt.Sprint(nodes)
	if seed%4 > 1 {
		values["term"] = "2s" // grants last longer than the lease of the owner that made them
	}
	p, problems := ParsePolicy(values, []string{"x", "y"})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), lease: 500 * time.Millisecond, policy: p,
		admissions: map[Key][]time.Duration{}, referenceBuckets: map[Key]*referenceBucket{}, fastestClock: 1}
	for i := range nodes {
		n := &simNode{sim: s, id: uint64(i + 1), clockRate: 1}
		s.nodes = append(s.nodes, n)
		n.start()
		s.openSession(n)
	}
	s.lossy = lossy
	return s
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.run()
	}
	s.now = until
}

// startCalls starts clients' calls. Most calls of an account arrive at one front, which changes over time.
// The others arrive at random fronts.
func (s *simulation) startCalls(interval time.Duration) {
	var callAll func()
	callAll = func() {
		for i, account := range []string{"a", "b", "c", "d", "e", "f"} {
			// An account pauses while fronts still hold tokens for it.
			if s.intermittentCalls && (s.now/(300*time.Millisecond)+3*time.Duration(i))%7 > 3 {
				continue
			}
			n := s.nodes[(int(s.now/(700*time.Millisecond))+i)%len(s.nodes)]
			if s.rng.IntN(3) == 0 {
				n = s.nodes[s.rng.IntN(len(s.nodes))]
			}
			n.call(account, []string{"x", "y"}[s.rng.IntN(2)])
		}
		s.after(time.Duration(s.rng.Int64N(int64(2*interval))), callAll)
	}
	callAll()
}

// runScenario simulates 22 s with faults. It returns a violation of a limit, if there is one, and the number
// of admissions.
func runScenario(t testing.TB, seed uint64, nodes int, varyClockRates bool) (violation string, admitted int) {
	t.Helper()
	s := newSimulation(t, seed, nodes, true)
	fastest := 1.0
	if varyClockRates {
		for _, n := range s.nodes {
			n.clockRate = 0.6 + 0.8*s.rng.Float64()
			fastest = max(fastest, n.clockRate)
		}
	}
	s.intermittentCalls, s.onlyViewChanges = seed%3 == 0, seed%5 < 2
	s.startCalls(3 * time.Millisecond)
	for at := 2 * time.Second; at < 20*time.Second; {
		s.after(at, s.injectFault)
		at += time.Duration(s.rng.Int64N(int64(1500 * time.Millisecond)))
		if s.onlyViewChanges {
			at += 2 * time.Second
		}
	}
	s.fastestClock = fastest
	s.run(22 * time.Second)
	return cmp.Or(s.violation, s.audit(fastest)), s.admitted
}

// In every time window, all fronts together admit no more than the rate and the burst allow, even if messages
// are lost, delayed or duplicated, and instances stall, crash or return.
func TestAdmissionsKeepToLimitsUnderFaults(t *testing.T) {
	seeds := 60
	if v, err := strconv.Atoi(os.Getenv("STORIES")); err == nil {
		seeds = v // for a longer search than a normal test run allows
	}
	if testing.Short() {
		seeds = 10
	}
	total := 0
	for seed := range uint64(seeds) {
		violation, admitted := runScenario(t, seed, 2+int(seed%4), seed%2 == 1)
		if total += admitted; violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if total < 500*seeds {
		t.Errorf("%d admissions in %d scenarios, want at least 500 per scenario", total, seeds)
	}
}

// An owner lends nothing before the last grant of the previous owner has expired at its front, at any rates
// of the three clocks within the bounds of package rollout.
func TestExpiryWaitCoversClockRates(t *testing.T) {
	const lease = 500 * time.Millisecond
	p, _ := ParsePolicy(testSection, []string{"x"})
	rates := []float64{0.6, 1, 1.4}
	realTime := func(d time.Duration, rate float64) time.Duration { return time.Duration(float64(d) / rate) }
	for _, before := range rates {
		for _, front := range rates {
			for _, after := range rates {
				// The lease was requested just before the shard changed owners, and the last grant was made
				// at the end of the lease.
				expiresAt := realTime(lease, before) + realTime(p.GrantDuration, front)
				a, self := NewAuthority(), placement.Session{Member: 1, Epoch: 1}
				a.Configure(0, p)
				a.SetView(0, tableOf(1, self), self, lease, false)
				if start := realTime(a.lendableFrom(placement.ShardOf("a")), after); start < expiresAt {
					t.Errorf("clock rates %v, %v, %v: lending starts at %v, and the last grant expires at %v",
						before, front, after, start, expiresAt)
				}
			}
		}
	}
}

// tableOf returns the table of a view with the given sessions as members.
func tableOf(view uint64, sessions ...placement.Session) *placement.Table {
	var members []placement.Member
	for _, session := range sessions {
		members = append(members, placement.Member{Session: session})
	}
	return placement.NewTable(placement.View{Number: view, Members: members})
}
