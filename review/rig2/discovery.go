package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval between the empty lines of a watch.
const heartbeat = 2 * time.Second

// entry is a trip worker's entry in discovery's list.
type entry struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`

	changed int64 // the generation of its last change
}

// discovery is the stand-in for the platform's discovery.
type discovery struct {
	*httptest.Server
	world *world

	mu         sync.Mutex
	generation int64
	entries    []*entry
	watches    map[*watch]bool
	lastBeat   time.Time
	// told is when a node was first told each state of a worker, by node, worker and state.
	told map[string]time.Duration
}

// watch is an open watch.
type watch struct {
	lines  chan string
	silent bool // it stays open and gets nothing more
	node   string
}

func startDiscovery(w *world) *discovery {
	d := &discovery{world: w, generation: 40, watches: map[*watch]bool{},
		told: map[string]time.Duration{}}
	d.Server = d.serverFor("any")
	go d.beat()
	return d
}

// serverFor returns a server of its own for a node, so that the node's watches can be told from others'.
func (d *discovery) serverFor(node string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		d.serve(node, out, r)
	}))
}

func (d *discovery) address() string { return strings.TrimPrefix(d.URL, "http://") }

// beat sends an empty line to all watches every 2 s.
func (d *discovery) beat() {
	for range time.Tick(heartbeat) {
		d.mu.Lock()
		d.lastBeat = time.Now()
		for c := range d.watches {
			c.send("")
		}
		d.mu.Unlock()
	}
}

// awaitBeat waits until an empty line has just been sent.
func (d *discovery) awaitBeat() {
	for {
		d.mu.Lock()
		since := time.Since(d.lastBeat)
		d.mu.Unlock()
		if since > 30*time.Millisecond && since < 60*time.Millisecond {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *watch) send(line string) {
	if !c.silent {
		select {
		case c.lines <- line:
		default:
		}
	}
}

// list returns the entries that changed after a generation, or all. The caller holds the lock.
func (d *discovery) list(after int64) string {
	full := after <= 0 || after > d.generation
	entries := []*entry{}
	for _, e := range d.entries {
		if full || e.changed > after {
			entries = append(entries, e)
		}
	}
	text, _ := json.Marshal(map[string]any{"generation": d.generation, "reset": full, "instances": entries})
	return string(text)
}

func (d *discovery) serve(node string, out http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	d.mu.Lock()
	first := d.list(after)
	if r.URL.Query().Get("stream") == "" {
		d.mu.Unlock()
		fmt.Fprintln(out, d.list(0))
		return
	}
	c := &watch{lines: make(chan string, 100), node: node}
	d.watches[c] = true
	d.world.logf("discovery: watch opened by %s after generation %d: %s", node, after, first)
	c.send(first)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, c)
		d.mu.Unlock()
		d.world.logf("discovery: watch of %s ended", node)
	}()
	for {
		select {
		case <-r.Context().Done():
			return
		case line := <-c.lines:
			fmt.Fprintln(out, line)
			out.(http.Flusher).Flush()
			d.noteTold(node, line)
		}
	}
}

// noteTold records that a line has been written to a node.
func (d *discovery) noteTold(node, line string) {
	var list struct {
		Instances []entry `json:"instances"`
	}
	if json.Unmarshal([]byte(line), &list) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list.Instances {
		key := node + " " + e.ID + " " + e.Lifecycle
		if _, ok := d.told[key]; !ok {
			d.told[key] = d.world.now()
		}
	}
}

// toldAt returns when a node was first told a worker's state; false: never.
func (d *discovery) toldAt(node, id, lifecycle string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.told[node+" "+id+" "+lifecycle]
	return at, ok
}

// add lists a worker.
func (d *discovery) add(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	e.changed = d.generation
	d.entries = append(d.entries, &e)
	d.tell()
}

// set changes a worker's lifecycle.
func (d *discovery) set(id, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, e := range d.entries {
		if e.ID == id {
			e.Lifecycle, e.changed = lifecycle, d.generation
		}
	}
	d.world.logf("discovery: %s is %s in generation %d", id, lifecycle, d.generation)
	d.tell()
}

// tell sends the last change to all watches. The caller holds the lock.
func (d *discovery) tell() {
	for c := range d.watches {
		c.send(d.list(d.generation - 1))
	}
}

// silence makes all watches that are open now fall silent, and returns how many there are.
func (d *discovery) silence() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.watches {
		c.silent = true
	}
	d.world.logf("discovery: %d open watches fall silent", len(d.watches))
	return len(d.watches)
}

func (d *discovery) watchCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watches)
}
