package emulate

import (
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/cluster/discovery"
	"moorstack/internal/proxy/broker"
)

// How the list comes to nodes.
const (
	asked  = "asked"
	pushed = "pushed"
)

// missed is after how long what a silent watch did not say counts as told.
const missed = 6 * time.Second

// listService tells nodes which workers there are: late, only of processes that run,
// drain or are gone, and not at all while it is down.
type listService struct {
	w       *World
	byName  map[string]*Worker
	down    bool
	late    time.Duration // a trouble: so much later
	version int
	latest  map[string]int // by worker: the version of its last change
	changes []change
	watches []*directory
}

type change struct {
	version int
	at      time.Duration // when it may be told
	entry   broker.ListEntry
}

func (s *listService) entry(k *Worker, state balancer.WorkerState) broker.ListEntry {
	e := broker.ListEntry{Name: k.Name, Zone: k.Zone, Kind: k.Kind, Cell: k.Cell, State: state,
		Size: float64(k.Spec.Cores) * k.Spec.Speed}
	if k.started > 0 {
		e.StartedAt = k.started + epoch
	}
	return e
}

// snapshot is the whole list as it was told up to a version; 0: as it is now.
func (s *listService) snapshot(int) []broker.ListEntry {
	if s.byName == nil {
		s.byName = map[string]*Worker{}
		for _, k := range s.w.workers {
			s.byName[k.Name] = k
		}
	}
	var list []broker.ListEntry
	for _, k := range s.w.workers {
		switch {
		case k.down:
		case k.drains:
			list = append(list, s.entry(k, balancer.Draining))
		default:
			list = append(list, s.entry(k, balancer.Ready))
		}
	}
	return list
}

// changed notes that a worker has started, drains or is gone; watchers hear of it late.
func (s *listService) changed(k *Worker) {
	state := balancer.Ready
	switch {
	case k.down:
		state = balancer.Removed
	case k.drains:
		state = balancer.Draining
	}
	s.version++
	e := s.entry(k, state)
	version := s.version
	if s.latest == nil {
		s.latest = map[string]int{}
	}
	s.latest[k.Name] = version
	delay := time.Duration(s.w.sc.ListDelay) + s.late
	s.w.Clock.at(s.w.Clock.now+delay, func() {
		s.changes = append(s.changes, change{version, s.w.Clock.now, e})
		for _, d := range s.watches {
			if d.deaf {
				s.counts(d, version, e)
				continue
			}
			d.tell(balancer.ListDelta, []broker.ListEntry{e})
		}
		if s.w.sc.List == pushed && !s.down {
			s.agents([]broker.ListEntry{e})
		}
	})
}

// agents notes that what the agents beside the nodes have counts as told.
func (s *listService) agents(entries []broker.ListEntry) {
	for _, n := range s.w.nodes {
		if n != nil && !n.down {
			s.w.watch.told(n, balancer.ListDelta, entries)
		}
	}
}

// counts has what a deaf watch misses count as told after missed, heard or not, if it still holds.
func (s *listService) counts(d *directory, version int, e broker.ListEntry) {
	if s.w.sc.List == pushed {
		return // it counts already
	}
	n, life := d.n, d.life
	s.w.Clock.at(max(d.since+missed, s.w.Clock.now), func() {
		if n.life == life && !n.down && s.latest[e.Name] == version {
			s.w.watch.told(n, balancer.ListDelta, []broker.ListEntry{e})
		}
	})
}

// crash ends all watches.
func (s *listService) crash(down bool) {
	s.down = down
	if !down {
		if s.w.sc.List == pushed { // what the agents get at the return counts at once
			s.agents(s.snapshot(0))
		}
		return
	}
	old := s.watches
	s.watches = nil
	for _, d := range old {
		d.fail()
	}
}

// deafen has a part of the open watches say nothing more, though they stay open.
func (s *listService) deafen(part float64, rng *rand.Rand) {
	for _, d := range s.watches {
		if d.alive() && !d.deaf && rng.Float64() < part {
			d.deaf, d.since = true, s.w.Clock.now
			s.w.Clock.at(s.w.Clock.now+d.rules().WatchTimeout(), d.silent)
		}
	}
}

// directory is a node's way to the list service.
type directory struct {
	n     *Node
	life  int
	on    bool
	deaf  bool          // its watch is open and says nothing
	since time.Duration // when that began
}

var _ broker.EndpointSource = (*directory)(nil)

func (d *directory) alive() bool { return d.n.life == d.life && !d.n.down }

// rules are how fresh the list is kept, as the real front has them.
func (d *directory) rules() discovery.RefreshPolicy {
	set := &d.n.w.set
	return discovery.RefreshPolicy{
		LocalAgent: !set.ListOnRequest,
		DrainGrace: set.Rules.DrainGrace,
		NodeIndex:  d.n.number,
		FleetSize:  set.DispatcherCount,
	}
}

// open begins to follow a list that is pushed, as the real front does.
func (d *directory) open() {
	if !d.rules().LocalAgent {
		return
	}
	if s := d.n.w.list; !s.down { // a new process is told from its first moment
		d.n.w.watch.told(d.n, balancer.ListDelta, s.snapshot(0))
	}
	d.WatchList(true)
	d.poll()
}

// poll asks the agent beside the node, and again after a while.
func (d *directory) poll() {
	if !d.alive() {
		return
	}
	d.FetchList()
	d.n.w.Clock.at(d.n.w.Clock.now+d.rules().PollInterval(), d.poll)
}

// silent begins a watch anew that has said nothing for long.
func (d *directory) silent() {
	if !d.alive() || !d.deaf {
		return
	}
	s := d.n.w.list
	s.watches = slices.DeleteFunc(s.watches, func(o *directory) bool { return o == d })
	d.on, d.deaf = false, false
	d.WatchList(true)
}

func (d *directory) tell(kind balancer.ListUpdateKind, entries []broker.ListEntry) {
	if !d.alive() {
		return
	}
	d.n.w.rows.lines += len(entries)
	if kind != balancer.ListDelta {
		clear(d.n.known)
	}
	d.n.learn(entries)
	d.n.w.watch.told(d.n, kind, entries)
	d.n.core.UpdateEndpoints(kind, d.n.entries(entries))
}

func (d *directory) fail() {
	w := d.n.w
	d.deaf = false
	w.Clock.at(w.Clock.now+time.Duration(w.sc.Far), func() {
		if !d.alive() {
			return
		}
		d.on = false
		if r := d.rules(); r.LocalAgent { // it is asked again soon, and the core has no part in it
			w.Clock.at(w.Clock.now+r.PollInterval(), func() {
				if d.alive() {
					d.WatchList(true)
				}
			})
			return
		}
		d.n.core.UpdateEndpoints(balancer.ListUnavailable, nil)
	})
}

// WatchList implements core.Directory.
func (d *directory) WatchList(on bool) {
	s := d.n.w.list
	if !on || d.on {
		return
	}
	if s.down {
		d.on = true // until that has failed
		d.fail()
		return
	}
	d.on = true
	w := d.n.w
	w.Clock.at(w.Clock.now+time.Duration(w.sc.Far)*2, func() {
		if !d.alive() {
			return
		}
		if s.down {
			d.fail()
			return
		}
		s.watches = append(s.watches, d)
		d.tell(balancer.ListFull, s.snapshot(0))
	})
}

// FetchList implements core.Directory.
func (d *directory) FetchList() {
	w := d.n.w
	if w.list.down {
		if !d.rules().LocalAgent {
			d.fail()
		}
		return
	}
	w.Clock.at(w.Clock.now+time.Duration(w.sc.Far)*2, func() {
		if d.alive() && !w.list.down {
			d.tell(balancer.ListFull, w.list.snapshot(0))
		}
	})
}
