package platform

import (
	"errors"
	"fmt"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/settings"
)

// workerList is an endpoint list as discovery sends it, or a delta of one.
type workerList struct {
	Generation int64         `json:"generation"`
	Full       bool          `json:"reset"` // a full list; otherwise a delta
	Workers    []workerEntry `json:"instances"`
}

// workerEntry is a worker's entry in discovery's format.
type workerEntry struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"startedAtMs"` // wall-clock time; 0: long ago
}

// lifecycles maps discovery's lifecycle names to worker states. Any other name removes the worker.
var lifecycles = map[string]balancer.WorkerState{"SERVING": balancer.Ready, "DRAINING": balancer.Draining}

func (e *workerEntry) state() balancer.WorkerState { return lifecycles[e.Lifecycle] }

// receivedList is a received document that may not be an endpoint list at all. Its Generation is a pointer,
// so that validate notices if it is missing.
type receivedList struct {
	workerList
	Generation *int64 `json:"generation"`
}

// validate returns the list, or an error if the document is not a complete list or delta. Without this check,
// any other JSON object would be read as an empty list and would remove all workers.
func (r *receivedList) validate() (*workerList, error) {
	if r.Generation == nil {
		return nil, errors.New("not an endpoint list: generation is missing")
	}
	list := &r.workerList
	list.Generation = *r.Generation
	if list.Full && list.Workers == nil {
		return nil, fmt.Errorf("generation %d is a full list without instances",
			list.Generation)
	}
	for i := range list.Workers {
		e := &list.Workers[i]
		if e.ID == "" || e.Address == "" && e.state() != balancer.Removed {
			return nil, fmt.Errorf("generation %d: instance %d has no instanceId or no hostPort",
				list.Generation, i)
		}
	}
	return list, nil
}

// nameIndex maps the names used in messages to the balancer's indexes.
type nameIndex struct {
	classes, tenants, zones, kinds map[string]int
	report                         settings.LoadReportFields
}

func newNameIndex(s *settings.Params) nameIndex {
	n := nameIndex{classes: map[string]int{}, tenants: map[string]int{}, zones: map[string]int{},
		kinds: map[string]int{}, report: s.LoadReportFields()}
	for i, c := range s.Classes {
		n.classes[c.Name] = i
	}
	for i, t := range s.Tenants {
		n.tenants[t.Name] = i
	}
	for i, z := range s.Zones {
		n.zones[z] = i
	}
	for i, k := range s.Kinds {
		n.kinds[k] = i
	}
	return n
}

// indexOrNone returns the index of a name, or -1 if it is unknown.
func indexOrNone(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// updateEndpoints passes a list to the broker and updates this front's workers to match it.
func (f *Front) updateEndpoints(kind balancer.ListUpdateKind, list *workerList) {
	entries := make([]broker.ListEntry, 0, len(list.Workers))
	if kind != balancer.ListDelta {
		clear(f.entries)
	}
	listed := map[string]bool{}
	now := f.loop.Now()
	clockStep := time.Duration(time.Now().UnixNano()) - now
	for _, e := range list.Workers {
		startedAt := time.Duration(e.StartedAtMS) * time.Millisecond
		entry := broker.ListEntry{
			Name:      e.ID,
			Cell:      e.Cell,
			State:     e.state(),
			Size:      e.Weight,
			Zone:      indexOrNone(f.names.zones, e.Zone),
			Kind:      indexOrNone(f.names.kinds, e.MachineType),
			StartedAt: f.startTimes.resolve(e.ID, startedAt, now, clockStep),
		}
		if entry.State == balancer.Removed {
			f.removeWorker(e.ID)
			delete(f.entries, e.ID)
		} else {
			f.entries[e.ID] = e
			listed[e.ID] = true
			entry.Endpoint = f.workerAt(e.ID, e.Address)
		}
		entries = append(entries, entry)
	}
	if kind != balancer.ListDelta {
		for id := range f.workers {
			if !listed[id] {
				f.removeWorker(id)
			}
		}
	}
	f.broker.UpdateEndpoints(kind, entries)
}

// workerAt returns the worker with the id and sets its address. It creates the worker if there is none, and
// closes the idle connections if the address has changed.
func (f *Front) workerAt(id, address string) *worker {
	w := f.workers[id]
	if w == nil {
		w = &worker{front: f, name: id}
		f.workers[id] = w
	}
	if w.address != address {
		w.address = address
		w.closeIdle()
	}
	return w
}

func (f *Front) removeWorker(id string) {
	if w := f.workers[id]; w != nil {
		delete(f.workers, id)
		w.closeIdle()
	}
}
