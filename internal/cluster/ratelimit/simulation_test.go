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

// simulation runs instances in virtual time, each with a limiter and an authority. Their messages are lost,
// duplicated, late and out of order; their clocks run at rates of their own; they stall, die, are started
// again, and learn of views late. It has what package consensus promises of leases and views, and no more.
type simulation struct {
	t               testing.TB
	rng             *rand.Rand
	now             time.Duration
	lease           time.Duration
	events          []event // to run, by time
	nodes           []*simNode
	epoch           uint64
	view            placement.View // as agreed last
	log             []placement.View
	policy          Policy
	admissions      map[Key][]time.Duration
	trueBuckets     map[Key]*trueBucket
	fastestClock    float64 // rate of the fastest clock
	violation       string
	lossy           bool
	pausing         bool // each account has no calls now and then
	onlyViewChanges bool // no other faults
	admitted        int
}

type event struct {
	at  time.Duration
	run func()
}

type simNode struct {
	sim          *simulation
	id           uint64
	starts       int
	session      placement.Session
	alive        bool
	stalledUntil time.Duration
	clockRate    float64
	clockStart   time.Duration
	limiter      *Limiter
	authority    *Authority
	appliedViews int
	leaseUntil   time.Duration
	renewedAt    time.Duration // on the simulation's clock
	cut          bool
	muted        bool          // its messages are held back
	heldBack     []func()      // in the order in which they were sent
	lagsUntil    time.Duration // until then it gets no entry of the log, though it is connected
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

// after runs something at an instance after a time, once that is not stalled, if its process is the same.
func (n *simNode) after(d time.Duration, f func()) {
	starts := n.starts
	n.sim.after(d, func() {
		if n.starts != starts || !n.alive {
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
	n.starts++
	n.alive, n.stalledUntil, n.leaseUntil = true, 0, 0
	n.clockStart = n.sim.now - time.Duration(n.sim.rng.Int64N(int64(time.Second)))
	n.sim.epoch++
	n.session = placement.Session{Member: n.id, Epoch: n.sim.epoch}
	n.limiter, n.authority = NewLimiter(n.clock()), NewAuthority()
	n.limiter.Configure(n.clock(), n.sim.policy)
	n.authority.Configure(n.clock(), n.sim.policy)
	n.appliedViews = max(len(n.sim.log)-1, 0) // a snapshot: earlier views are not seen
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

// sortedSessions returns the keys in an order that does not depend on the run.
func sortedSessions[V any](m map[placement.Session]V) []placement.Session {
	return slices.SortedFunc(maps.Keys(m), func(a, b placement.Session) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Epoch, b.Epoch))
	})
}

// send delivers a message to a session, if that is still its instance's when the message arrives.
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
			if (n.cut || to.cut) && to != n {
				continue
			}
			if n.muted && to != n {
				n.heldBack = append(n.heldBack, func() { to.after(0, deliver) })
				continue
			}
			to.after(delay, deliver)
		}
	}
}

// applyViews has an instance apply views, and renew its lease with a leader that has applied all of them.
func (n *simNode) applyViews() {
	s := n.sim
	if n.cut {
		return
	}
	upTo := len(s.log)
	if s.now < n.lagsUntil {
		return
	}
	if s.lossy && s.rng.IntN(4) == 0 && n.appliedViews < upTo {
		upTo = n.appliedViews + s.rng.IntN(upTo-n.appliedViews) // it lags
	}
	for ; n.appliedViews < upTo; n.appliedViews++ {
		v := s.log[n.appliedViews]
		own := placement.Session{}
		for _, m := range v.Members {
			if m.Session == n.session {
				own = m.Session
			}
		}
		t := placement.NewTable(v)
		n.limiter.SetView(n.clock(), t, own)
		n.authority.SetView(n.clock(), t, own, s.lease, false)
	}
	if n.appliedViews == len(s.log) && s.inView(n) && !n.muted {
		n.renewedAt = s.now
		n.leaseUntil = n.clock() + s.lease // requested now, of a leader that had applied as much
	}
}

// setView agrees on a new view.
func (s *simulation) setView(members []placement.Member, expired ...placement.Session) {
	s.view = placement.View{Number: uint64(len(s.log) + 1), Members: members, Expired: expired}
	slices.SortFunc(s.view.Members, func(a, b placement.Member) int { return int(a.Member) - int(b.Member) })
	s.log = append(s.log, s.view)
}

// openSession adds an instance to the view. An earlier session of it has surely expired: its process ended.
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
	is := func(m placement.Member) bool { return m.Member == n.id }
	return slices.DeleteFunc(slices.Clone(s.view.Members), is)
}

// inView is whether an instance's session is in the newest view.
func (s *simulation) inView(n *simNode) bool {
	return slices.ContainsFunc(s.view.Members,
		func(m placement.Member) bool { return m.Session == n.session })
}

func (s *simulation) closeSession(n *simNode, expired ...placement.Session) {
	s.setView(s.others(n), expired...)
}

// call is a client's call at a front, which admits only under a valid lease, as admission control does.
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
				s.trueBucketOf(k).level--
			}
		}
	}
	return ok
}

// audit describes a window in which more was admitted than the limit allows, by owners' clocks that run at
// most so fast; empty: there is none.
func (s *simulation) audit(clockRate float64) string {
	for k, times := range s.admissions {
		l, _ := s.policy.LimitOf(k)
		level, last := l.Burst, time.Duration(0)
		for i, at := range times {
			level = min(l.Burst, level+l.Rate*clockRate*(at-last).Seconds()) - 1
			if last = at; level < -1e-6 {
				return fmt.Sprintf("%v: admission %d at %v is beyond %v a second and %v at once", k, i, at,
					l.Rate, l.Burst)
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
		values["term"] = "2s" // grants outlive the lease of the owner that gave them
	}
	p, problems := ParsePolicy(values, []string{"x", "y"})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), lease: 500 * time.Millisecond, policy: p,
		admissions: map[Key][]time.Duration{}, trueBuckets: map[Key]*trueBucket{}, fastestClock: 1}
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

// startCalls has clients call: each account mostly at one front, which changes, and now and then at any.
func (s *simulation) startCalls(every time.Duration) {
	var again func()
	again = func() {
		for i, account := range []string{"a", "b", "c", "d", "e", "f"} {
			// Each has no calls now and then, with the tokens that it has.
			if s.pausing && (s.now/(300*time.Millisecond)+3*time.Duration(i))%7 > 3 {
				continue
			}
			n := s.nodes[(int(s.now/(700*time.Millisecond))+i)%len(s.nodes)]
			if s.rng.IntN(3) == 0 {
				n = s.nodes[s.rng.IntN(len(s.nodes))]
			}
			n.call(account, []string{"x", "y"}[s.rng.IntN(2)])
		}
		s.after(time.Duration(s.rng.Int64N(int64(2*every))), again)
	}
	again()
}

// runScenario simulates 22 s with faults, and returns a violation of a limit, and the count of admissions.
func runScenario(t testing.TB, seed uint64, nodes int, clockRates bool) (violation string, admitted int) {
	t.Helper()
	s := newSimulation(t, seed, nodes, true)
	fastest := 1.0
	if clockRates {
		for _, n := range s.nodes {
			n.clockRate = 0.6 + 0.8*s.rng.Float64()
			fastest = max(fastest, n.clockRate)
		}
	}
	s.pausing, s.onlyViewChanges = seed%3 == 0, seed%5 < 2
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

// In no window more is admitted at all fronts together than the rate and the burst allow, whatever messages
// are lost, late or duplicated, and whichever instances stall, die or come back.
func TestAdmissionsKeepToLimitsUnderFaults(t *testing.T) {
	seeds := 60
	if v, err := strconv.Atoi(os.Getenv("STORIES")); err == nil {
		seeds = v // for a longer search than a test run has time for
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
		t.Errorf("%d admissions in %d scenarios: too few to show anything", total, seeds)
	}
}

// An owner lends nothing before the last grant of the owner before has expired at its front, whatever the
// rates of the three clocks are within the promised bounds.
func TestExpiryWaitCoversClockRates(t *testing.T) {
	const lease = 500 * time.Millisecond
	p, _ := ParsePolicy(testSection, []string{"x"})
	rates := []float64{0.6, 1, 1.4}
	real := func(d time.Duration, rate float64) time.Duration { return time.Duration(float64(d) / rate) }
	for _, before := range rates {
		for _, front := range rates {
			for _, after := range rates {
				// The lease was requested just before the shard changed its owner, the last grant at its end.
				end := real(lease, before) + real(p.GrantDuration, front)
				a, own := NewAuthority(), placement.Session{Member: 1, Epoch: 1}
				a.Configure(0, p)
				a.SetView(0, tableOf(1, own), own, lease, false)
				if from := real(a.lendableFrom(placement.ShardOf("a")), after); from < end {
					t.Errorf("clock rates %v, %v, %v: lent from %v on, the last grant expires at %v", before,
						front, after, from, end)
				}
			}
		}
	}
}

// tableOf is the table of a view of the given sessions.
func tableOf(view uint64, sessions ...placement.Session) *placement.Table {
	var members []placement.Member
	for _, session := range sessions {
		members = append(members, placement.Member{Session: session})
	}
	return placement.NewTable(placement.View{Number: view, Members: members})
}
