package emulate

import (
	"time"

	"moorstack/brain"
	"moorstack/internal/core"
)

// listService tells nodes which workers there are: late, only of processes that run,
// drain or are gone, and not at all while it is down.
type listService struct {
	w       *World
	byName  map[string]*Worker
	down    bool
	late    time.Duration // a trouble: so much later
	version int
	changes []change
	watches []*directory
}

type change struct {
	version int
	at      time.Duration // when it may be told
	entry   core.Entry
}

func (s *listService) entry(k *Worker, state brain.State) core.Entry {
	e := core.Entry{Name: k.Name, Zone: k.Zone, Kind: k.Kind, Cell: k.Cell, State: state,
		Size: float64(k.Spec.Cores) * k.Spec.Speed}
	if k.started > 0 {
		e.Since = k.started + epoch
	}
	return e
}

// snapshot is the whole list as it was told up to a version; 0: as it is now.
func (s *listService) snapshot(int) []core.Entry {
	if s.byName == nil {
		s.byName = map[string]*Worker{}
		for _, k := range s.w.workers {
			s.byName[k.Name] = k
		}
	}
	var list []core.Entry
	for _, k := range s.w.workers {
		switch {
		case k.down:
		case k.drains:
			list = append(list, s.entry(k, brain.Draining))
		default:
			list = append(list, s.entry(k, brain.Ready))
		}
	}
	return list
}

// changed notes that a worker has started, drains or is gone; watchers hear of it late.
func (s *listService) changed(k *Worker) {
	state := brain.Ready
	switch {
	case k.down:
		state = brain.Removed
	case k.drains:
		state = brain.Draining
	}
	s.version++
	e := s.entry(k, state)
	delay := time.Duration(s.w.sc.ListDelay) + s.late
	s.w.Clock.at(s.w.Clock.now+delay, func() {
		s.changes = append(s.changes, change{s.version, s.w.Clock.now, e})
		for _, d := range s.watches {
			d.tell(brain.Changes, []core.Entry{e})
		}
	})
}

// crash ends all watches.
func (s *listService) crash(down bool) {
	s.down = down
	if !down {
		return
	}
	old := s.watches
	s.watches = nil
	for _, d := range old {
		d.fail()
	}
}

// directory is a node's way to the list service.
type directory struct {
	n    *Node
	life int
	on   bool
}

var _ core.Directory = (*directory)(nil)

func (d *directory) alive() bool { return d.n.life == d.life && !d.n.down }

func (d *directory) tell(kind brain.ListKind, entries []core.Entry) {
	if !d.alive() {
		return
	}
	d.n.w.rows.lines += len(entries)
	if kind != brain.Changes {
		clear(d.n.known)
	}
	d.n.learn(entries)
	d.n.w.watch.told(d.n, kind, entries)
	d.n.core.RouteSet(kind, d.n.entries(entries))
}

func (d *directory) fail() {
	w := d.n.w
	w.Clock.at(w.Clock.now+time.Duration(w.sc.Far), func() {
		if d.alive() {
			d.on = false
			d.n.core.RouteSet(brain.Failed, nil)
		}
	})
}

// Watch implements core.Directory.
func (d *directory) Watch(on bool) {
	s := d.n.w.list
	if !on || d.on {
		return
	}
	if s.down {
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
		d.tell(brain.Whole, s.snapshot(0))
	})
}

// Fetch implements core.Directory.
func (d *directory) Fetch() {
	w := d.n.w
	if w.list.down {
		d.fail()
		return
	}
	w.Clock.at(w.Clock.now+time.Duration(w.sc.Far)*2, func() {
		if d.alive() && !w.list.down {
			d.tell(brain.Whole, w.list.snapshot(0))
		}
	})
}
