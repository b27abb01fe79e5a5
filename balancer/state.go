package balancer

// What the module remembers. No decisions: those are in files of their own, which deploy/balancer.toml
// lists.

import (
	"cmp"
	"encoding/binary"
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

// EndMaintenance takes word that operators have put a worker back which they had taken out. It was
// restarted meanwhile: what was believed of the process before is forgotten, and it is
// owed a job.
func (b *Balancer) EndMaintenance(id WorkerID) {
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

// name is w in a message.
func (w *worker) name() []byte { return binary.BigEndian.AppendUint32(nil, uint32(w.ID)) }

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
	if w.StartedAt != e.StartedAt {
		w.sent = w.sent[:0]
	}
	w.Worker = e
	w.Kind = min(max(w.Kind, 0), b.set.WorkerKinds-1)
	if b.set.SizeMeaning == SizeNone || b.set.SizeMeaning == SizeLive || w.Size <= 0 {
		w.Size = 1 // it tells nothing of the machine
	}
}

func sameGroup(c *Class, a, w *worker) bool {
	switch c.KeyScope {
	case ScopeZone:
		return a.Zone == w.Zone
	case ScopeCell:
		return a.Cell == w.Cell && a.Zone == w.Zone
	}
	return true
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
