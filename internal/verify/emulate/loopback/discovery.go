package loopback

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

const (
	// watchBuffer is how many events may wait for a watch's connection.
	watchBuffer = 64
	// keepAliveInterval is how often an idle watch sends an empty line.
	keepAliveInterval = 2 * time.Second
)

// lifecycle is a worker's state, in the list's words.
type lifecycle string

const (
	serving lifecycle = "SERVING"
	deleted lifecycle = "DELETED"
)

// instance is a worker's entry of the list.
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

// listUpdate is the whole list, where Reset is set, or a watch event.
type listUpdate struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// instance needs the platform's lock.
func (w *worker) instance() instance {
	o := &w.platform.options
	return instance{ID: w.name, Address: w.address, Zone: o.Zone, Kind: o.Kind, Cell: 1,
		Lifecycle: w.lifecycle, Weight: 1, StartedAtMS: w.startedAtMS}
}

// notifyWatches sends all watches a worker's entry.
func (p *Platform) notifyWatches(w *worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	event, _ := json.Marshal(listUpdate{p.version, false, []instance{w.instance()}}) // it can't fail
	for watch := range p.watches {
		select {
		case watch <- event:
		default: // who doesn't read is sent the whole list when it comes again
			close(watch)
			delete(p.watches, watch)
		}
	}
}

// snapshot is the whole list. If stream is set, a watch on what comes after it is opened.
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

// serveDiscovery is the discovery service's side of the platform's protocol.
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
		return errors.New("no flushing")
	}
	f.Flush()
	return nil
}
