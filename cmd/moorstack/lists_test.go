package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"moorstack/internal/verify/faultinjection"
)

// catalog stands for discovery: it counts who watches, and tells each the list and its changes.
type catalog struct {
	*httptest.Server
	mu       sync.Mutex
	words    []string // a line each; the first is generation 1
	watchers map[chan struct{}]bool
	calls    int
	deaf     bool
}

func newCatalog(t *testing.T) *catalog {
	c := &catalog{watchers: map[chan struct{}]bool{},
		words: []string{`{"generation":1,"reset":true,"instances":[]}`}}
	c.Server = httptest.NewServer(http.HandlerFunc(c.serve))
	t.Cleanup(func() { c.CloseClientConnections(); c.Close() })
	return c
}

func (c *catalog) address() string { return strings.TrimPrefix(c.URL, "http://") }

func (c *catalog) serve(w http.ResponseWriter, r *http.Request) {
	news := make(chan struct{}, 1)
	next := 0
	fmt.Sscan(r.URL.Query().Get("index"), &next)
	c.mu.Lock()
	if c.calls++; c.deaf {
		c.mu.Unlock()
		w.WriteHeader(500)
		return
	}
	c.watchers[news] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.watchers, news)
		c.mu.Unlock()
	}()
	for {
		c.mu.Lock()
		words := c.words[min(next, len(c.words)):]
		next = len(c.words)
		c.mu.Unlock()
		for _, line := range words {
			fmt.Fprintln(w, line)
		}
		if fmt.Fprintln(w); r.URL.Query().Get("stream") == "" {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-news:
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (c *catalog) watched() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.watchers)
}

// add has the list name a worker more.
func (c *catalog) add(id, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line, _ := json.Marshal(map[string]any{"generation": len(c.words) + 1, "instances": []any{map[string]any{
		"instanceId": id, "hostPort": address, "zone": "z", "machineType": "k", "lifecycle": "SERVING",
		"weight": 1}}})
	c.words = append(c.words, string(line))
	for news := range c.watchers {
		select {
		case news <- struct{}{}:
		default:
		}
	}
}

// relayedBy is what an instance's log has once another one relays the endpoint list to it.
func relayedBy(name string) string {
	return `"instance":"` + name + `","level":"info","msg":"endpoint list received from another instance"`
}

// One instance asks discovery for all; the others know what it is told. When it stands still each asks
// by itself until there is another, and goes back.
func TestListKeeper(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	c := newCatalog(t)
	g.discovery = c.address()
	all := []string{"n1", "n2", "n3"}
	g.form(all...)
	eventually(t, "each asks discovery", func() bool { return c.watched() == 3 })
	g.sections("n1", "[section.duties]\nlist = \"on\"\n")
	eventually(t, "one asks for all", func() bool { return c.watched() == 1 })
	keeper := g.held("list", 0, all...)

	var mu sync.Mutex
	asked := map[string]bool{} // jobs that came to the worker
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		asked[r.URL.Path] = true
		w.WriteHeader(500)
	}))
	defer worker.Close()
	c.add("w1", strings.TrimPrefix(worker.URL, "http://"))
	// A busy machine may let a lease run out: a job that is refused for that is asked for again.
	knows := func(name string) {
		eventually(t, name+" knows the worker", func() bool {
			mu.Lock()
			clear(asked)
			mu.Unlock()
			g.job(name)
			mu.Lock()
			defer mu.Unlock()
			return len(asked) > 0
		})
	}
	for _, name := range all {
		knows(name)
	}
	// Its process stands still: the others go on, by themselves and then by another keeper.
	wake := g.stall(keeper.Holder)
	rest := without(all, keeper.Holder)
	next := g.held("list", keeper.Number, rest...)
	if next.Holder == keeper.Holder {
		t.Fatalf("%s stands still and keeps the list", next.Holder)
	}
	for _, name := range rest {
		if name != next.Holder {
			eventually(t, name+" hears the new keeper", func() bool {
				return strings.Contains(g.logOf(name), relayedBy(next.Holder))
			})
		}
	}
	wake()
	eventually(t, "one asks for all again", func() bool { return c.watched() == 1 })
	// Where discovery speaks to nobody, nobody says that nothing has changed.
	c.mu.Lock()
	c.deaf = true
	c.mu.Unlock()
	c.CloseClientConnections()
	eventually(t, "each tries by itself", func() bool {
		return strings.Count(g.logOf("n1")+g.logOf("n2")+g.logOf("n3"),
			"polling discovery directly") >= 2
	})
	// One that has just started, and knows of no worker, does not tell the others that there is none.
	fresh := without(all, g.held("list", 0, all...).Holder)[0]
	g.kill(fresh, syscall.SIGKILL)
	g.start(fresh)
	g.admits(fresh)
	eventually(t, fresh+" keeps the list", func() bool {
		g.run("duty", "hand-on", "list", fresh, "--config", fresh+".toml")
		d := g.duty("list", all...)
		return d != nil && d.Holder == fresh
	})
	time.Sleep(700 * time.Millisecond) // a beat, and more
	for _, name := range without(all, fresh) {
		knows(name) // discovery is deaf still
		if strings.Contains(g.logOf(name), `"generation":0`) {
			t.Errorf("%s was given a list of nobody", name)
		}
	}
	c.mu.Lock()
	c.deaf = false
	c.mu.Unlock()
	eventually(t, "one asks for all once more", func() bool { return c.watched() == 1 })
	// Off, each asks for itself.
	g.sections("n1", "[section.duties]\nlist = \"off\"\n")
	eventually(t, "each asks discovery", func() bool { return c.watched() == 3 })
	g.kill("n1", syscall.SIGTERM)
}

// A keeper that one follower alone does not hear, or that does not hear it, goes on keeping the list; that
// follower asks by itself meanwhile, and goes back.
func TestListKeeperCutFromOne(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.links = faultinjection.NewLinks()
	t.Cleanup(g.links.Close)
	c := newCatalog(t)
	g.discovery = c.address()
	all := []string{"n1", "n2", "n3"}
	g.form(all...)
	g.sections("n1", "[section.rollout]\nlease = \"2s\"\n[section.duties]\nlist = \"on\"\n")
	eventually(t, "one asks for all", func() bool { return c.watched() == 1 })
	// Neither leads: nothing but the list goes from one to the other.
	others := without(all, g.leader(all...))
	keeper, follower := others[0], others[1]
	if g.held("list", 0, all...).Holder != keeper {
		g.mustOnceLed("duty", "hand-on", "list", keeper, "--config", "n1.toml")
		eventually(t, keeper+" keeps it", func() bool { return g.held("list", 0, all...).Holder == keeper })
	}
	hears := func() {
		t.Helper()
		eventually(t, follower+" hears the keeper", func() bool {
			log := g.logOf(follower)
			return c.watched() == 1 && strings.LastIndex(log, relayedBy(keeper)) >
				strings.LastIndex(log, "polling discovery directly")
		})
	}
	hears()
	before := g.held("list", 0, all...)
	for _, way := range [][2]string{{keeper, follower}, {follower, keeper}} {
		g.links.Cut(way[0], way[1])
		within(t, 2*limit, follower+" asks by itself", func() bool { return c.watched() == 2 })
		g.links.Heal()
		hears()
	}
	if now := g.held("list", 0, all...); now.Number != before.Number {
		t.Errorf("%s held it under the number %d, %s does under %d", keeper, before.Number, now.Holder,
			now.Number)
	}
}
