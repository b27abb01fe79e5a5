package brain

// What the module remembers, and the checking of its settings. No decisions: those are in files of their own,
// which deploy/balancer.toml lists.

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// sweepToken is the token of the one repeated timer; askToken asks for the list again.
const (
	sweepToken = iota
	askToken
)

// load is work sent to a worker.
type load struct {
	at   time.Duration
	work float64
}

// worker is what this dispatcher knows of one worker.
type worker struct {
	Worker
	own     float64       // this dispatcher's unfinished jobs there
	sent    []load        // what it was sent lately while cold
	beside  float64       // those of a process whose place this one has taken
	others  float64       // unfinished jobs of other dispatchers there, as reports tell
	pace    float64       // its running times over those of its kind
	wait    float64       // seconds that the last job to start there had waited
	waitT   time.Duration // when that was
	ill     float64       // how much it has failed lately, 0 to 1
	illT    time.Duration // when ill was last brought up to date
	stuck   float64       // seconds that the oldest job of ours there has waited to start
	asked   time.Duration // when it was last probed
	heard   time.Duration // when it last told of a job of ours
	running int           // jobs of ours there that are told to have started
	away    float64       // how far it is from home, in workers
	owed    bool          // it was put back by hand, and has had no job since
	full    bool          // its last report told of next to no free slots
}

// attempt is one Send of a request.
type attempt struct {
	w     *worker
	sent  time.Duration
	start time.Duration // when it was told to have started; 0: not told
	ended bool
	unrun bool // it is proven that the job never ran
}

// mayHaveRun reports whether nothing proves that the job never ran.
func (t attempt) mayHaveRun() bool { return !t.unrun }

// recent is a queue of times, of which it keeps those not long past.
type recent []time.Duration

// since drops the times up to and with the one given and counts the rest.
func (r *recent) since(t time.Duration) int {
	n := 0
	for n < len(*r) && (*r)[n] <= t {
		n++
	}
	*r = (*r)[n:]
	return len(*r)
}

// tally is what has been asked of a class lately and what was served in time.
type tally struct{ asked, served float64 }

// request is an accepted request until its answer is given and its attempts have ended.
type request struct {
	Request
	class    *Class // as it was when the request came
	tier     int    // of its route, that it is tried at
	anyone   bool   // where no worker is trusted, the others are drawn
	deadline time.Duration
	asked    []*worker     // for their loads, those that have answered first
	heard    int           // how many have
	heldT    time.Duration // since when it waits for them
	holding  bool          // it waits for their answers
	excess   bool          // it is beyond its tenant's allowance
	over     bool          // it has its final answer; nothing more may be sent
	out      int           // attempts still out
	tries    []attempt
	came     time.Duration
	index    int // in Balancer.list
}

// allowance is what a tenant may still send within its share.
type allowance struct {
	left  float64 // requests
	at    time.Duration
	asked float64 // requests lately
}

// kindLoad is the load that warm workers of one kind are seen to bear: over all the time that they are
// there, and over the part of it in which they were full.
type kindLoad struct{ work, seconds, fullWork, fullSeconds float64 }

// add counts work that was finished, or seconds of a worker that was there.
func (l *kindLoad) add(work, seconds float64, full bool) {
	l.work += work
	l.seconds += seconds
	if full {
		l.fullWork += work
		l.fullSeconds += seconds
	}
}

// Balancer decides for one dispatcher. It is made by New.
type Balancer struct {
	set       Settings
	act       Actions
	rng       *rand.Rand
	workers   []*worker // by ID
	byID      map[WorkerID]*worker
	open      map[RequestID]*request
	list      []*request // the same requests, in a repeatable order
	free      []*request
	asking    []*request // those that wait for loads
	draw      []*worker  // room for pick
	loads     []kindLoad
	slots     []float64 // by kind: the most free slots that a worker has reported
	paces     []float64 // by kind: running times over the usual ones
	usual     []float64 // by class: the usual running time, in seconds
	mean      float64   // the usual running time over all jobs
	tallies   []tally   // by class
	tenants   []allowance
	arrived   float64       // requests lately
	efforts   float64       // and their work, by the hints' measure
	blind     bool          // news of workers is too old to go by
	watched   float64       // seconds that asked of tenants goes back, faded alike
	values    []float64     // room for rate
	wait      float64       // seconds that jobs of ours have waited lately
	waitT     time.Duration // when that was
	crowd     float64       // the share of our jobs that have met a wait lately
	ratio     float64       // running time over hint, as usual
	surveyed  time.Duration // when the averages were last brought up to date
	patience  time.Duration // the shortest deadline of a class
	started   bool
	startedAt time.Duration
	listed    bool          // a list has come
	asks      int           // failed calls for the list in a row
	owing     int           // workers that are owed a job
	refused   int           // requests refused since the last log line
	failed    int           // requests failed since
	logged    time.Duration // when that was
	taken     recent        // requests, for the budget of further attempts
	further   recent        // attempts beyond the first of a request, for the same
}

// New makes the balancer of one dispatcher. The same seed and events give the same actions.
func New(set Settings, seed uint64, act Actions) (*Balancer, error) {
	if err := check(&set, act); err != nil {
		return nil, fmt.Errorf("brain: %w", err)
	}
	b := &Balancer{
		set: set, act: act, rng: rand.New(rand.NewPCG(seed, 0)),
		byID: map[WorkerID]*worker{}, open: map[RequestID]*request{},
		loads: make([]kindLoad, set.Kinds), slots: make([]float64, set.Kinds),
		usual: make([]float64, len(set.Classes)), tallies: make([]tally, len(set.Classes)),
		values:   make([]float64, len(set.Classes)),
		patience: set.Classes[0].Deadline, ratio: 1, tenants: make([]allowance, len(set.Tenants)),
	}
	for range set.Kinds {
		b.paces = append(b.paces, 1)
	}
	for _, c := range set.Classes {
		b.patience = min(b.patience, c.Deadline)
	}
	return b, nil
}

// CanConfigure says whether Configure may be called with the settings: as many classes
// and tenants as before, under the same names, and the same word on what may run again.
func (b *Balancer) CanConfigure(set Settings) error {
	if err := check(&set, b.act); err != nil {
		return err
	}
	if len(set.Classes) != len(b.set.Classes) || len(set.Tenants) != len(b.set.Tenants) {
		return errors.New("classes and tenants can't come or go while the dispatcher runs")
	}
	for i, c := range set.Classes {
		was := &b.set.Classes[i]
		if c.Name != was.Name || c.Effect != was.Effect || c.Scope != was.Scope || c.Kind != was.Kind ||
			c.Stream != was.Stream || c.Window != was.Window {
			return fmt.Errorf("class %q: name, effect, scope, window, kind and stream can't change", was.Name)
		}
	}
	for i, t := range set.Tenants {
		if t.Name != b.set.Tenants[i].Name {
			return fmt.Errorf("tenant %q: its name can't change", b.set.Tenants[i].Name)
		}
	}
	return nil
}

// Configure takes over the classes and tenants of settings that CanConfigure approves.
// Requests that are open keep the class that they came with: what a client was promised
// when its job was taken must hold to the end.
func (b *Balancer) Configure(set Settings) {
	b.set.Classes = slices.Clone(set.Classes)
	b.set.Tenants = slices.Clone(set.Tenants)
	// Dispatchers that agree with each other come and go, and their parts with them.
	b.set.Me, b.set.Fleet = set.Me, max(set.Fleet, 1)
	b.set.Rules.OverloadFactor = set.Rules.OverloadFactor
	b.patience = b.set.Classes[0].Deadline
	for _, c := range b.set.Classes {
		b.patience = min(b.patience, c.Deadline)
	}
}

// Members takes news of the list of workers.
func (b *Balancer) Members(now time.Duration, kind ListKind, list []Worker) {
	if !b.started {
		b.started, b.startedAt, b.surveyed = true, now, now
		b.act.After(b.sweepEvery(), sweepToken)
		switch wait := b.firstAsk(); {
		case b.set.MustAsk && wait > 0:
			b.act.After(wait, askToken)
		case b.set.MustAsk:
			b.act.Watch(true)
		}
	}
	if kind == Failed {
		b.act.After(b.askAgain(), askToken)
		b.asks++
		return
	}
	if kind != Cached {
		b.asks = 0
	}
	b.listed = b.listed || kind != Cached || len(list) > 0
	if kind != Changes {
		for _, w := range b.workers {
			w.State = Removed
		}
	}
	for _, e := range list {
		b.member(e)
	}
	b.prune()
	b.settle()
	if kind != Cached {
		b.release(now)
	}
}

// Owe takes word that operators have put a worker back which they had taken out. It was
// restarted meanwhile: what was believed of the process before is forgotten, and it is
// owed a job.
func (b *Balancer) Owe(id WorkerID) {
	w := b.byID[id]
	if w == nil {
		return
	}
	w.ill, w.wait, w.stuck, w.others = 0, 0, 0, 0
	if !w.owed {
		w.owed = true
		b.owing++
	}
}

// Distrusted is how many ready workers are left out of draws by choice. Where none is
// trusted, all are drawn.
func (b *Balancer) Distrusted(now time.Duration) int {
	ready, ill := 0, 0
	for _, w := range b.workers {
		if w.State == Ready {
			if ready++; b.illness(now, w) >= suspect {
				ill++
			}
		}
	}
	if ill == ready {
		return 0
	}
	return ill
}

// Request takes a new request and sends, refuses or fails it.
func (b *Balancer) Request(now time.Duration, r Request) {
	if q := b.admit(now, r); q != nil {
		b.taken.since(now - b.set.Rules.Budget)
		b.taken = append(b.taken, now)
		b.tallies[q.Class].asked += b.units(q)
		b.arrived++
		b.efforts += b.effort(q)
		b.claim(now, q)
		if b.place(now, q); !b.blind {
			b.askLoads(now)
		}
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	q, t := b.attempt(o.ID, o.Attempt)
	if t == nil || t.ended {
		return
	}
	t.unrun = b.proves(o.Result)
	t.ended, t.w.stuck = true, 0
	if t.start > 0 {
		t.w.running--
	}
	if o.Result == OK || o.Result == Error || o.Result == Full {
		t.w.heard = now // the others are no word of its own
	}
	q.out--
	b.learn(now, q, t, &o)
	t.w.own -= q.size()
	if o.Settled && !q.over {
		q.over = true
		b.stop(q)
	}
	if q.over || q.out > 0 {
		b.forget(q)
		return
	}
	if o.Result == Rejected {
		b.fail(q)
		return
	}
	b.place(now, q)
}

// Progress takes news of an attempt that is out.
func (b *Balancer) Progress(now time.Duration, n Note) {
	_, t := b.attempt(n.ID, n.Attempt)
	if t == nil || t.ended {
		return
	}
	t.w.heard = now
	if !n.Started || t.start > 0 {
		return
	}
	t.start, t.w.stuck = now, 0
	t.w.running++
	t.w.wait, t.w.waitT = (now - t.sent).Seconds(), now
	b.meets(now, t.w.wait)
}

// Probed takes what a probe found.
func (b *Balancer) Probed(now time.Duration, id WorkerID, res Result, took time.Duration, r Report) {
	switch w := b.byID[id]; {
	case w == nil:
	case res == OK:
		b.report(w, &r)
		b.hears(now, w)
	default:
		b.fails(now, w)
	}
}

// hears takes the answer of a worker that was asked, and places requests that have heard from all.
func (b *Balancer) hears(now time.Duration, from *worker) {
	for _, q := range b.asking {
		for i := q.heard; i < len(q.asked); i++ {
			if q.asked[i] == from {
				q.asked[i], q.asked[q.heard] = q.asked[q.heard], q.asked[i]
				q.heard++
				break
			}
		}
	}
	b.release(now)
}

// Peer takes a message from another dispatcher: the worker that has just failed it.
func (b *Balancer) Peer(now time.Duration, from int, data []byte) {
	if len(data) != 4 {
		return
	}
	if w := b.byID[WorkerID(binary.BigEndian.Uint32(data))]; w != nil {
		b.fails(now, w)
	}
}

// name is w in a message.
func (w *worker) name() []byte { return binary.BigEndian.AppendUint32(nil, uint32(w.ID)) }

// Timer takes a timer that has come due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case sweepToken:
		b.sweep(now)
		b.act.After(b.sweepEvery(), sweepToken)
	case askToken:
		b.act.Watch(true)
	}
}

// Streaming takes the start of a streamed answer: the client owns the attempt from now on, and the
// request is over as if it had left.
func (b *Balancer) Streaming(now time.Duration, id RequestID, attempt int) {
	if q := b.open[id]; q != nil {
		q.over = true
		b.forget(q)
	}
}

// Gone takes the end of a request whose client has left.
func (b *Balancer) Gone(now time.Duration, id RequestID) {
	if q := b.open[id]; q != nil && !q.over {
		q.over = true
		b.stop(q)
		b.forget(q)
	}
}

// attempt finds an attempt of an open request, or returns nil for what it does not know.
func (b *Balancer) attempt(id RequestID, n int) (*request, *attempt) {
	q := b.open[id]
	if q == nil || n < 0 || n >= len(q.tries) {
		return nil, nil
	}
	return q, &q.tries[n]
}

// attempts is how many a request may have: the least of what the deployment, its class
// and its route say.
func (b *Balancer) attempts(q *request) int {
	n := b.set.Limits.Attempts
	for _, most := range [...]int{q.class.Attempts, q.Attempts} {
		if most > 0 {
			n = min(n, most)
		}
	}
	return n
}

// onRoute reports whether w stands where q is tried now.
func (q *request) onRoute(w *worker) bool { return q.Route == nil || q.Route.Tier(&w.Worker) == q.tier }

// start has q tried at the first tier of its route.
func (q *request) start() { q.tier, q.anyone = 0, q.Route == nil }

// spills moves q on to the next tier of its route, if there is one and its route says so.
// After the last one it begins again, this time with workers that are not trusted, too.
//
// Hazard: the only worker of the first tier can't be reached, and every job is tried there
// before it goes to a sound one of the next.
func (q *request) spills(busy bool) bool {
	if q.Route == nil {
		return false
	}
	if q.tier+1 < q.Route.Tiers() && q.Route.Spills(q.tier, busy) {
		q.tier++
		return true
	}
	if q.anyone {
		return false
	}
	q.tier, q.anyone = 0, true
	return true
}

// admit enters a new request into the table, or returns nil if its ID is known already.
func (b *Balancer) admit(now time.Duration, r Request) *request {
	if b.open[r.ID] != nil {
		return nil
	}
	q := b.newRequest()
	r.Class = min(max(r.Class, 0), len(b.set.Classes)-1)
	q.class = &b.set.Classes[r.Class]
	q.Request, q.came, q.deadline, q.index = r, now, now+r.Left, len(b.list)
	b.open[r.ID] = q
	b.list = append(b.list, q)
	return q
}

func (b *Balancer) newRequest() *request {
	n := len(b.free)
	if n == 0 {
		return &request{tries: make([]attempt, 0, 2)}
	}
	q := b.free[n-1]
	b.free = b.free[:n-1]
	*q = request{tries: q.tries[:0], asked: q.asked[:0]}
	return q
}

// forget drops a finished request once no attempt of it is out.
func (b *Balancer) forget(q *request) {
	if !q.over || q.out > 0 || q.holding {
		return
	}
	last := b.list[len(b.list)-1]
	b.list[q.index], last.index = last, q.index
	b.list = b.list[:len(b.list)-1]
	delete(b.open, q.ID)
	b.free = append(b.free, q)
}

// prune forgets the workers that are gone and hold no job of ours, and orders the rest.
func (b *Balancer) prune() {
	b.workers = keep(b.workers, func(w *worker) bool {
		if w.State == Removed && w.own == 0 {
			if delete(b.byID, w.ID); w.owed {
				b.owing--
			}
			return false
		}
		return true
	})
	slices.SortFunc(b.workers, func(v, w *worker) int { return cmp.Compare(v.ID, w.ID) })
}

// member enters or updates a worker.
func (b *Balancer) member(e Worker) {
	w := b.byID[e.ID]
	if w == nil {
		w = &worker{pace: 1}
		b.byID[e.ID] = w
		b.workers = append(b.workers, w)
	}
	if w.Since != e.Since {
		w.sent = w.sent[:0]
	}
	w.Worker = e
	w.Kind = min(max(w.Kind, 0), b.set.Kinds-1)
	if b.set.Size == SizeNone || b.set.Size == SizeLive || w.Size <= 0 {
		w.Size = 1 // it tells nothing of the machine
	}
}

// summary is the log line for the people on call, and starts its counts anew.
func (b *Balancer) summary(now time.Duration) string {
	ready, cold, suspects := 0, 0, 0
	for _, w := range b.workers {
		if w.State != Ready {
			continue
		}
		ready++
		if b.warmth(now, w) < 1 {
			cold++
		}
		if b.illness(now, w) >= suspect {
			suspects++
		}
	}
	line := fmt.Sprintf("refused %d, failed %d; workers: %d ready, %d of them cold, %d suspect",
		b.refused, b.failed, ready, cold, suspects)
	b.refused, b.failed = 0, 0
	return line
}

// keep drops the elements of s that ok rejects, in place.
func keep[T any](s []T, ok func(T) bool) []T {
	kept := s[:0]
	for _, x := range s {
		if ok(x) {
			kept = append(kept, x)
		}
	}
	clear(s[len(kept):])
	return kept
}

func sameGroup(c *Class, a, w *worker) bool {
	switch c.Scope {
	case ScopeZone:
		return a.Zone == w.Zone
	case ScopeCell:
		return a.Cell == w.Cell && a.Zone == w.Zone
	}
	return true
}

// check names the setting that can't be decided with, and fills in what may be absent.
func check(s *Settings, act Actions) error {
	if act == nil {
		return errors.New("no actions")
	}
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes: none given")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: Classes[%d].Deadline: %v is not positive", i, c.Deadline)
		}
		if c.Aim < 0 || c.Stretch < 0 || c.Worth < 0 || c.Window < 0 ||
			c.Effect > Unsafe || c.Scope > ScopeCell || c.Attempts < 0 {
			return fmt.Errorf("settings: Classes[%d]: a value is out of range", i)
		}
		if c.Kind < -1 || c.Kind >= s.Kinds && c.Kind > 0 {
			return fmt.Errorf("settings: Classes[%d].Kind: %d is not one of %d kinds", i, c.Kind, s.Kinds)
		}
	}
	r := &s.Rules
	for _, v := range []struct {
		name string
		bad  bool
	}{
		{"Limits.Attempts", s.Limits.Attempts < 0}, {"Limits.MaxRetryAfter", s.Limits.MaxRetryAfter < 0},
		{"Rules.AnswerSlack", r.AnswerSlack < 0}, {"Rules.AskEvery", r.AskEvery < 0},
		{"Rules.ColdShare", r.ColdShare < 0 || r.ColdShare > 1}, {"Rules.Cold", r.Cold < 0},
		{"Rules.OverloadFactor", r.OverloadFactor < 0}, {"Rules.Fall", r.Fall < 0},
		{"Rules.Budget", r.Budget < 0}, {"Rules.FreeFurther", r.FreeFurther < 0},
		{"Rules.FurtherShare", r.FurtherShare < 0},
		{"Fleet", s.Fleet < 0}, {"Me", s.Me < 0 || s.Fleet > 0 && s.Me >= s.Fleet},
		{"Zone", s.Zone < 0 || s.Zones > 0 && s.Zone >= s.Zones}, {"Kinds", s.Kinds < 0},
	} {
		if v.bad {
			return fmt.Errorf("%s: out of range", v.name)
		}
	}
	s.Fleet = max(s.Fleet, 1)
	s.Kinds = max(s.Kinds, 1)
	s.Limits.Attempts = max(s.Limits.Attempts, 1)
	return nil
}

// fade makes all averages over time count for less than what is to come.
func (b *Balancer) fade(by float64) {
	for i, l := range b.loads {
		b.loads[i] = kindLoad{l.work * by, l.seconds * by, l.fullWork * by, l.fullSeconds * by}
	}
	for i, t := range b.tallies {
		b.tallies[i] = tally{t.asked * by, t.served * by}
	}
	for i := range b.tenants {
		b.tenants[i].asked *= by
	}
	b.arrived *= by
	b.efforts *= by
	b.watched *= by
}

// Verdict says how a worker stands for a request.
type Verdict struct {
	Worker Worker
	Why    string // why the request may not go there now; empty: it may
}

// Explain says of each worker, by ID, whether a request that came now would be drawn for
// it at a tier of its route, and why not. It changes nothing that decisions go by.
func (b *Balancer) Explain(now time.Duration, r Request, tier int) []Verdict {
	r.Class = min(max(r.Class, 0), len(b.set.Classes)-1)
	q := &request{Request: r, class: &b.set.Classes[r.Class], tier: tier, anyone: true,
		deadline: now + r.Left, came: now}
	trusted := slices.ContainsFunc(
		b.workers,
		func(w *worker) bool { return b.may(now, q, w) && b.trusted(now, q, w) },
	)
	list := make([]Verdict, 0, len(b.workers))
	for _, w := range b.workers {
		v := Verdict{Worker: w.Worker}
		switch {
		case w.State == Draining:
			v.Why = "it drains"
		case w.State != Ready:
			v.Why = "it is gone"
		case q.class.Kind >= 0 && q.class.Kind != w.Kind:
			v.Why = "the class wants another kind"
		case !q.onRoute(w):
			v.Why = "the rule puts it elsewhere or nowhere"
		case !b.coldRoom(now, w, b.effort(q)):
			v.Why = "it is cold and its budget has no room"
		case !b.may(now, q, w):
			v.Why = "the time is up"
		case trusted && !b.trusted(now, q, w):
			v.Why = "it has failed lately, and others have not"
		}
		list = append(list, v)
	}
	return list
}
