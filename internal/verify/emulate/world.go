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
	Clock         Clock
	scenario      *Scenario
	streams       RandomStreams
	meanWork      workMean
	settings      balancer.Settings
	workers       []*Worker
	discovery     *discoveryService
	nodes         []*Node
	networkRandom *rand.Rand
	log           *logrus.Logger
	invariants    *invariantChecker
	metrics       metrics
	jobCount      uint64 // made so far
	openJobs      int    // jobs whose clients still wait
	groups        []*clientGroup
}

// NewWorld makes the world of a scenario, at its beginning.
func NewWorld(sc *Scenario) (*World, error) {
	if err := sc.validate(); err != nil {
		return nil, err
	}
	w := &World{scenario: sc, streams: RandomStreams{sc.Seed}, settings: sc.settings(), log: logrus.New()}
	w.log.SetOutput(io.Discard)
	w.networkRandom = w.streams.Source("network", 0)
	w.invariants = newInvariantChecker(w)
	w.metrics.init(sc)
	w.makeWorkers()
	w.discovery = &discoveryService{world: w}
	for n := range sc.Nodes {
		node := &Node{world: w, number: n, zone: n % len(sc.Zones)}
		w.nodes = append(w.nodes, node)
		node.start(w.discovery.snapshot(0))
	}
	for i := range sc.Clients {
		g := &clientGroup{
			world:          w,
			spec:           &sc.Clients[i],
			arrivalRandom:  w.streams.Source("arrivals", i),
			sizeRandom:     w.streams.Source("sizes", i),
			behaviorRandom: w.streams.Source("habits", i),
		}
		w.groups = append(w.groups, g)
		g.scheduleArrival()
	}
	for i := range sc.Faults {
		w.scheduleFault(&sc.Faults[i], i)
	}
	return w, nil
}

func (w *World) makeWorkers() {
	n := 0
	for g := range w.scenario.Workers {
		spec := &w.scenario.Workers[g]
		pods := map[int]*pod{}
		for range spec.Count {
			k := NewWorker(&w.Clock, w.streams.Source("worker", n), fmt.Sprintf("w%05d", n), spec.WorkerSpec)
			k.meanWork = &w.meanWork
			k.Zone, k.Kind = slices.Index(w.scenario.Zones, spec.Zone), g
			if size := max(spec.PodSize, 1); w.scenario.hasIdempotencyKeys() {
				number := n / size
				if pods[number] == nil {
					pods[number] = &pod{window: w.scenario.maxKeyWindow(), byKey: map[string]*keyedJob{}}
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
	w.Clock.Run(time.Duration(w.scenario.Duration))
	// Those that came in time are seen to their end.
	for _, g := range w.groups {
		g.stopped = true
	}
	w.Clock.Run(time.Duration(w.scenario.Duration) + w.scenario.maxTimeout() + time.Second)
	return w.result()
}

// latency is the time that a message takes from a zone to another.
func (w *World) latency(from, to int) time.Duration {
	d := time.Duration(w.scenario.SameZoneLatency)
	if from != to {
		d = time.Duration(w.scenario.CrossZoneLatency)
	}
	return d + time.Duration(float64(d)*0.2*w.networkRandom.Float64())
}

// Node is a real node: the real core and balancer, reached by model links.
type Node struct {
	world       *World
	number      int
	zone        int
	incarnation int
	broker      *broker.Broker
	clock       *nodeClock
	links       map[string]*link
	down        bool
	upSince     time.Duration // when it last came up: clients hear of that later
	downSince   time.Duration // when it last went down

	submissions []*submission // clients that wait here, and some that do no more

	knownList map[string]broker.ListEntry // the list as it was told
	replaced  bool                        // another process has taken its place
}

// nodeClock is the world's clock for one life of a node: what an earlier life set is void.
type nodeClock struct {
	clock       *Clock
	node        *Node
	incarnation int
}

// Now implements core.Clock. A core's clock must not begin at 0, which means long ago.
func (c *nodeClock) Now() time.Duration { return c.clock.now + epoch }

// epoch is what nodes' clocks are ahead of the world's: a start time of 0 means long ago.
const epoch = 24 * time.Hour

// At implements core.Clock.
func (c *nodeClock) At(at time.Duration, f func()) broker.Timer {
	return c.clock.schedule(at-epoch, func() {
		if c.node.incarnation == c.incarnation && !c.node.down {
			f()
		}
	})
}

// start begins a life of the node with a list that it knew.
func (n *Node) start(known []broker.ListEntry) {
	n.incarnation++
	n.down, n.upSince = false, n.world.Clock.now
	n.clock = &nodeClock{&n.world.Clock, n, n.incarnation}
	n.links = map[string]*link{}
	set := n.world.settings
	set.DispatcherIndex, set.Zone = n.number, n.zone
	// The seed differs from life to life, as a real node's does.
	seed := n.world.streams.Source("node", n.number<<16+n.incarnation).Uint64()
	var err error
	dir := &listClient{node: n, incarnation: n.incarnation}
	if n.broker, err = broker.New(set, seed, n.clock, dir, n.world.log); err != nil {
		panic(fmt.Sprintf("emulate: a node can't be made: %v", err)) // check has tried it
	}
	if n.world.scenario.SubsetSize > 0 {
		n.broker.OnListUpdate(n.chooseSubset)
	}
	n.knownList = map[string]broker.ListEntry{}
	n.rememberList(known)
	n.world.invariants.listReceived(n, balancer.ListCached, known)
	n.broker.UpdateEndpoints(balancer.ListCached, n.withLinks(known))
	dir.start()
}

// chooseSubset has the node use its subset of the workers that it knows.
func (n *Node) chooseSubset() {
	var members []placement.Member
	for k := range n.world.scenario.Nodes {
		members = append(members, placement.Member{Session: placement.Session{Member: uint64(k + 1)}})
	}
	var list []placement.Worker
	for _, l := range n.broker.ListedEndpoints() {
		list = append(list, placement.Worker{Name: l.Name, Zone: l.Zone})
	}
	n.broker.SetSubset(placement.Subset(members, members[n.number].Session, list,
		n.world.scenario.SubsetSize))
}

// rememberList keeps what the node was told of the list.
func (n *Node) rememberList(list []broker.ListEntry) {
	for _, e := range list {
		if n.knownList[e.Name] = e; e.State == balancer.Removed {
			delete(n.knownList, e.Name)
		}
	}
}

// withLinks gives a list the links of this node.
func (n *Node) withLinks(list []broker.ListEntry) []broker.ListEntry {
	out := slices.Clone(list)
	for i := range out {
		e := &out[i]
		if e.State == balancer.Removed {
			continue
		}
		l := n.links[e.Name]
		if l == nil {
			l = &link{node: n, incarnation: n.incarnation, worker: n.world.discovery.byName[e.Name]}
			n.links[e.Name] = l
		}
		e.Endpoint = l
	}
	return out
}

// kill ends the node's life: what it held is the clients' to repeat.
func (n *Node) kill() {
	n.down, n.downSince = true, n.world.Clock.now
	n.incarnation++
	n.world.invariants.nodeDied(n)
	for _, c := range n.submissions {
		if !c.done() {
			// Their connections are reset.
			n.world.Clock.After(n.world.latency(n.zone, n.zone), func() {
				if !c.done() {
					c.job.nodeFailed()
				}
			})
		}
	}
	n.submissions = nil
}

// link is a node's way to a worker.
type link struct {
	node        *Node
	incarnation int
	worker      *Worker
}

var _ broker.Endpoint = (*link)(nil)

func (l *link) current() bool { return l.node.incarnation == l.incarnation && !l.node.down }

// attempt is an attempt on its way, at the worker, or on its way back.
type attempt struct {
	link    *link
	request broker.Attempt
	cancel  func()
	ended   bool
}

// StartAttempt implements core.NextHop.
func (l *link) StartAttempt(b broker.Attempt) broker.RunningAttempt {
	w := l.node.world
	j := b.Payload.(*job)
	w.invariants.attemptStarted(l.node, l.worker, j)
	br := &attempt{link: l, request: b}
	aware := w.invariants.knowsStart(l.node, l.worker)
	there := w.latency(l.node.zone, l.worker.Zone)
	w.Clock.schedule(w.Clock.now+there, func() {
		if br.ended || l.worker.partitioned {
			return // given up on its way, or lost where nothing comes in
		}
		key := ""
		if j.class.HasIdempotencyKey() {
			key = j.key
		}
		life := l.worker.incarnation
		br.cancel = l.worker.StartJob(key, j.class.Name, j.size, aware,
			func(res balancer.Result) { br.sendResult(res, life) })
	})
	return br
}

func (br *attempt) sendResult(res balancer.Result, life int) {
	l := br.link
	w := l.node.world
	if res == balancer.OK {
		w.invariants.jobRan(br.request.Payload.(*job))
	}
	if l.worker.partitioned && res != balancer.ConnectFailed {
		return
	}
	home := w.latency(l.worker.Zone, l.node.zone)
	w.Clock.schedule(w.Clock.now+home, func() {
		if br.ended || !l.current() {
			return
		}
		br.ended = true
		l.node.broker.EndAttempt(br.request.ID, res, nil, balancer.NoLoadReport)
	})
}

// Abandon implements core.Running: the worker hears of it a little later.
func (br *attempt) Abandon() {
	if br.ended {
		return
	}
	br.ended = true
	w := br.link.node.world
	w.Clock.schedule(w.Clock.now+w.latency(br.link.node.zone, br.link.worker.Zone), func() {
		if br.cancel != nil && !br.link.worker.partitioned {
			br.cancel()
		}
	})
}

// CheckHealth implements core.NextHop.
func (l *link) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	w := l.node.world
	w.metrics.healthChecks++
	d := w.latency(l.node.zone, l.worker.Zone)
	told := func(after time.Duration, res balancer.Result, r balancer.LoadReport) {
		w.Clock.schedule(w.Clock.now+after, func() {
			if l.current() {
				done(res, r)
			}
		})
	}
	switch {
	case l.worker.partitioned:
		told(time.Duration(w.scenario.ConnectTimeout), balancer.TimedOut, balancer.NoLoadReport)
	case l.worker.down:
		told(2*d, balancer.ConnectFailed, balancer.NoLoadReport)
	default:
		told(2*d, balancer.OK, l.worker.LoadReport())
	}
}

// CloseIdle implements core.NextHop.
func (l *link) CloseIdle() {}
