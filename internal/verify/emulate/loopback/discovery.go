package loopback

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

const (
	// watchBuffer is the number of events that may be queued for a watch's connection.
	watchBuffer = 64
	// keepAliveInterval is the interval at which an idle watch sends an empty line.
	keepAliveInterval = 2 * time.Second
)

// lifecycle is a worker's state in the endpoint list.
type lifecycle string

const (
	serving lifecycle = "SERVING"
	deleted lifecycle = "DELETED"
)

// instance is a worker's entry in the endpoint list.
type instance struct {
	ID          string    `json:"instanceId"`
	Address     string    `json:"hostPort"`
	Zone        string    `json:"zone"`
	Kind        string    `json:"machineType"`
	Cell        int       `json:"cell"`
	Lifecycle   lifecycle `json:"lifecycle"`
	Weight      float64   `json:"weight"`
	StartedAtMS int64     `json:"startedAtMs"`
}

// listUpdate is the complete list if Reset is set, and otherwise a delta of it.
type listUpdate struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// instance returns the worker's entry. The caller must hold the platform's lock.
func (w *worker) instance() instance {
	o := &w.platform.options
	return instance{ID: w.name, Address: w.address, Zone: o.Zone, Kind: o.Kind, Cell: 1,
		Lifecycle: w.lifecycle, Weight: 1, StartedAtMS: w.startedAtMS}
}

// notifyWatches sends a worker's entry to all watches.
func (p *Platform) notifyWatches(w *worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	event, _ := json.Marshal(listUpdate{p.version, false, []instance{w.instance()}}) // cannot fail
	for watch := range p.watches {
		select {
		case watch <- event:
		default: // a client too slow to read receives the complete list when it reconnects
			close(watch)
			delete(p.watches, watch)
		}
	}
}

// snapshot returns the complete list. If stream is set, it also opens a watch for later changes.
func (p *Platform) snapshot(stream bool) (all listUpdate, watch chan []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all = listUpdate{Generation: p.version, Reset: true}
	for _, w := range p.workers {
		if w.lifecycle != deleted {
			all.Instances = append(all.Instances, w.instance())
		}
	}
	if stream {
		watch = make(chan []byte, watchBuffer)
		p.watches[watch] = true
	}
	return all, watch
}

func (p *Platform) closeWatch(watch chan []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.watches, watch)
}

// serveDiscovery implements the discovery service's side of the platform's protocol.
func (p *Platform) serveDiscovery(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	all, watch := p.snapshot(r.URL.Query().Get("stream") == "1")
	if watch != nil {
		defer p.closeWatch(watch)
	}
	list, err := json.Marshal(all)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	if sendLine(rw, list) != nil || watch == nil {
		return
	}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case event, open := <-watch:
			if !open || sendLine(rw, event) != nil {
				return
			}
		case <-keepAlive.C:
			if sendLine(rw, nil) != nil {
				return
			}
		}
	}
}

func sendLine(rw http.ResponseWriter, line []byte) error {
	if _, err := rw.Write(append(line, '\n')); err != nil {
		return err
	}
	f, ok := rw.(http.Flusher)
	if !ok {
		return errors.New("response writer does not support flushing")
	}
	f.Flush()
	return nil
}
