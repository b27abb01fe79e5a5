package emulate

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/proxy/broker"
)

// World is a run of a scenario.
type World struct {
	Clock   Clock
	sc      *Scenario
	streams Streams
	sizes   jobMean
	set     balancer.Settings
	workers []*Worker
	list    *listService
	nodes   []*Node
	net     *rand.Rand
	log     *logrus.Logger
	watch   *watcher
	rows    rows
	jobs    uint64 // made so far
	open    int    // jobs whose clients still wait
	groups  []*group
}

// New makes the world of a scenario, at its beginning.
func New(sc *Scenario) (*World, error) {
	if err := sc.check(); err != nil {
		return nil, err
	}
	w := &World{sc: sc, streams: Streams{sc.Seed}, set: sc.settings(), log: logrus.New()}
	w.log.SetOutput(io.Discard)
	w.net = w.streams.Of("network", 0)
	w.watch = newWatcher(w)
	w.rows.init(sc)
	w.makeWorkers()
	w.list = &listService{w: w}
	for n := range sc.Nodes {
		node := &Node{w: w, number: n, zone: n % len(sc.Zones)}
		w.nodes = append(w.nodes, node)
		node.start(w.list.snapshot(0))
	}
	for i := range sc.Clients {
		g := &group{
			w:      w,
			spec:   &sc.Clients[i],
			rng:    w.streams.Of("arrivals", i),
			sizes:  w.streams.Of("sizes", i),
			habits: w.streams.Of("habits", i),
		}
		w.groups = append(w.groups, g)
		g.arrive()
	}
	for i := range sc.Troubles {
		w.plan(&sc.Troubles[i], i)
	}
	return w, nil
}

func (w *World) makeWorkers() {
	n := 0
	for g := range w.sc.Workers {
		spec := &w.sc.Workers[g]
		pods := map[int]*pod{}
		for range spec.Count {
			k := NewWorker(&w.Clock, w.streams.Of("worker", n), fmt.Sprintf("w%05d", n), spec.WorkerSpec)
			k.jobs = &w.sizes
			k.Zone, k.Kind = slices.Index(w.sc.Zones, spec.Zone), g
			if size := max(spec.PodSize, 1); w.sc.keyed() {
				number := n / size
				if pods[number] == nil {
					pods[number] = &pod{window: w.sc.window(), seen: map[string]*repeat{}}
				}
				k.pod, k.Cell = pods[number], number
			} else {
				k.Cell = n
			}
			w.workers = append(w.workers, k)
			n++
		}
	}
}

// Run plays the scenario to its end and gives what was measured.
func (w *World) Run() *Result {
	w.Clock.Run(time.Duration(w.sc.Duration))
	// Those that came in time are seen to their end.
	for _, g := range w.groups {
		g.over = true
	}
	w.Clock.Run(time.Duration(w.sc.Duration) + w.sc.longest() + time.Second)
	return w.result()
}

// latency is the time that a message takes from a zone to another.
func (w *World) latency(from, to int) time.Duration {
	d := time.Duration(w.sc.Near)
	if from != to {
		d = time.Duration(w.sc.Far)
	}
	return d + time.Duration(float64(d)*0.2*w.net.Float64())
}

// Node is a real node: the real core and balancer, reached by model links.
type Node struct {
	w      *World
	number int
	zone   int
	life   int
	core   *broker.Broker
	clock  *nodeClock
	hops   map[string]*link
	down   bool
	back   time.Duration // when it last came up: clients hear of that later
	gone   time.Duration // when it last went down

	waiters []*waiter // clients that wait here, and some that do no more

	known    map[string]broker.ListEntry // the list as it was told
	replaced bool                        // another process has taken its place
}

// nodeClock is the world's clock for one life of a node: what an earlier life set is void.
type nodeClock struct {
	c    *Clock
	node *Node
	life int
}

// Now implements core.Clock. A core's clock must not begin at 0, which means long ago.
func (c *nodeClock) Now() time.Duration { return c.c.now + epoch }

// epoch is what nodes' clocks are ahead of the world's: a start time of 0 means long ago.
const epoch = 24 * time.Hour

// At implements core.Clock.
func (c *nodeClock) At(at time.Duration, f func()) broker.Timer {
	return c.c.at(at-epoch, func() {
		if c.node.life == c.life && !c.node.down {
			f()
		}
	})
}

// start begins a life of the node with a list that it knew.
func (n *Node) start(known []broker.ListEntry) {
	n.life++
	n.down, n.back = false, n.w.Clock.now
	n.clock = &nodeClock{&n.w.Clock, n, n.life}
	n.hops = map[string]*link{}
	set := n.w.set
	set.DispatcherIndex, set.Zone = n.number, n.zone
	// The seed differs from life to life, as a real node's does.
	seed := n.w.streams.Of("node", n.number<<16+n.life).Uint64()
	var err error
	dir := &directory{n: n, life: n.life}
	if n.core, err = broker.New(set, seed, n.clock, dir, n.w.log); err != nil {
		panic(fmt.Sprintf("emulate: a node can't be made: %v", err)) // check has tried it
	}
	if n.w.sc.Subset > 0 {
		n.core.OnListUpdate(n.choose)
	}
	n.known = map[string]broker.ListEntry{}
	n.learn(known)
	n.w.watch.told(n, balancer.ListCached, known)
	n.core.UpdateEndpoints(balancer.ListCached, n.entries(known))
	dir.open()
}

// choose has the node use its subset of the workers that it knows.
func (n *Node) choose() {
	var members []placement.Member
	for k := range n.w.sc.Nodes {
		members = append(members, placement.Member{Session: placement.Session{Member: uint64(k + 1)}})
	}
	var list []placement.Worker
	for _, l := range n.core.ListedEndpoints() {
		list = append(list, placement.Worker{Name: l.Name, Zone: l.Zone})
	}
	n.core.SetSubset(placement.Subset(members, members[n.number].Session, list, n.w.sc.Subset))
}

// learn keeps what the node was told of the list.
func (n *Node) learn(list []broker.ListEntry) {
	for _, e := range list {
		if n.known[e.Name] = e; e.State == balancer.Removed {
			delete(n.known, e.Name)
		}
	}
}

// entries gives a list the links of this node.
func (n *Node) entries(list []broker.ListEntry) []broker.ListEntry {
	out := slices.Clone(list)
	for i := range out {
		e := &out[i]
		if e.State == balancer.Removed {
			continue
		}
		l := n.hops[e.Name]
		if l == nil {
			l = &link{n: n, life: n.life, worker: n.w.list.byName[e.Name]}
			n.hops[e.Name] = l
		}
		e.Endpoint = l
	}
	return out
}

// kill ends the node's life: what it held is the clients' to repeat.
func (n *Node) kill() {
	n.down, n.gone = true, n.w.Clock.now
	n.life++
	n.w.watch.forget(n)
	for _, c := range n.waiters {
		if !c.over() {
			// Their connections are reset.
			n.w.Clock.After(n.w.latency(n.zone, n.zone), func() {
				if !c.over() {
					c.r.lost()
				}
			})
		}
	}
	n.waiters = nil
}

// link is a node's way to a worker.
type link struct {
	n      *Node
	life   int
	worker *Worker
}

var _ broker.Endpoint = (*link)(nil)

func (l *link) alive() bool { return l.n.life == l.life && !l.n.down }

// branch is an attempt on its way, at the worker, or on its way back.
type branch struct {
	l      *link
	b      broker.Attempt
	giveUp func()
	over   bool
}

// StartAttempt implements core.NextHop.
func (l *link) StartAttempt(b broker.Attempt) broker.RunningAttempt {
	w := l.n.w
	j := b.Payload.(*request)
	w.watch.sent(l.n, l.worker, j)
	br := &branch{l: l, b: b}
	aware := w.watch.aware(l.n, l.worker)
	there := w.latency(l.n.zone, l.worker.Zone)
	w.Clock.at(w.Clock.now+there, func() {
		if br.over || l.worker.lossy {
			return // given up on its way, or lost where nothing comes in
		}
		key := ""
		if j.class.Keyed() {
			key = j.key
		}
		life := l.worker.life
		br.giveUp = l.worker.Take(key, j.class.Name, j.size, aware,
			func(res balancer.Result) { br.back(res, life) })
	})
	return br
}

func (br *branch) back(res balancer.Result, life int) {
	l := br.l
	w := l.n.w
	if res == balancer.OK {
		w.watch.ran(br.b.Payload.(*request))
	}
	if l.worker.lossy && res != balancer.ConnectFailed {
		return
	}
	home := w.latency(l.worker.Zone, l.n.zone)
	w.Clock.at(w.Clock.now+home, func() {
		if br.over || !l.alive() {
			return
		}
		br.over = true
		l.n.core.EndAttempt(br.b.ID, res, nil, balancer.NoLoadReport)
	})
}

// Abandon implements core.Running: the worker hears of it a little later.
func (br *branch) Abandon() {
	if br.over {
		return
	}
	br.over = true
	w := br.l.n.w
	w.Clock.at(w.Clock.now+w.latency(br.l.n.zone, br.l.worker.Zone), func() {
		if br.giveUp != nil && !br.l.worker.lossy {
			br.giveUp()
		}
	})
}

// CheckHealth implements core.NextHop.
func (l *link) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	w := l.n.w
	w.rows.probes++
	d := w.latency(l.n.zone, l.worker.Zone)
	told := func(after time.Duration, res balancer.Result, r balancer.LoadReport) {
		w.Clock.at(w.Clock.now+after, func() {
			if l.alive() {
				done(res, r)
			}
		})
	}
	switch {
	case l.worker.lossy:
		told(time.Duration(w.sc.Connect), balancer.TimedOut, balancer.NoLoadReport)
	case l.worker.down:
		told(2*d, balancer.ConnectFailed, balancer.NoLoadReport)
	default:
		told(2*d, balancer.OK, l.worker.Report())
	}
}

// CloseIdle implements core.NextHop.
func (l *link) CloseIdle() {}
