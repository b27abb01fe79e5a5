package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"moorstack/internal/verify/faultinjection"
)

// receivedFromLog returns the text that an instance logs once the named instance relays the endpoint list to
// it.
func receivedFromLog(name string) string {
	return `"instance":"` + name + `","level":"info","msg":"endpoint list received from another instance"`
}

// listRelay is a group of three instances that poll a discovery stub, with a worker that fails each job.
type listRelay struct {
	*group
	discovery *discoveryStub
	all       []string
	mu        sync.Mutex
	received  map[string]bool // paths of the jobs that reached the worker
}

func newListRelay(t *testing.T) *listRelay {
	r := &listRelay{group: newGroup(t), discovery: startDiscoveryStub(t), all: []string{"n1", "n2", "n3"},
		received: map[string]bool{}}
	r.group.discovery = r.discovery.address()
	r.form(r.all...)
	return r
}

// addWorker starts a worker and adds it to discovery's endpoint list.
func (r *listRelay) addWorker() {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.received[req.URL.Path] = true
		w.WriteHeader(500)
	}))
	r.t.Cleanup(worker.Close)
	r.discovery.add("w1", strings.TrimPrefix(worker.URL, "http://"))
}

// waitWatches waits until n instances poll discovery.
func (r *listRelay) waitWatches(what string, n int) {
	r.t.Helper()
	eventually(r.t, what, func() bool { return r.discovery.watchCount() == n })
}

// waitWorkerKnown waits until an instance sends jobs to the worker. On a busy machine a lease may expire; a
// job that is rejected for this reason is sent again.
func (r *listRelay) waitWorkerKnown(name string) {
	r.t.Helper()
	eventually(r.t, name+" knows the worker", func() bool {
		r.mu.Lock()
		clear(r.received)
		r.mu.Unlock()
		r.sendJob(name)
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.received) > 0
	})
}

// One instance polls discovery for all and relays the endpoint list. While it is stalled, each other instance
// polls discovery directly until there is a new relay.
func TestOneInstancePollsDiscoveryForAll(t *testing.T) {
	t.Parallel()
	r := newListRelay(t)
	r.waitWatches("each polls discovery", 3)
	r.setSections("n1", "[section.duties]\nlist = \"on\"\n")
	r.waitWatches("one instance polls for all", 1)
	relay := r.waitHeld("list", 0, r.all...)
	r.addWorker()
	for _, name := range r.all {
		r.waitWorkerKnown(name)
	}
	// The relay's process is stalled: the others poll discovery directly until there is a new relay.
	resume := r.stall(relay.Holder)
	rest := without(r.all, relay.Holder)
	next := r.waitHeld("list", relay.Number, rest...)
	if next.Holder == relay.Holder {
		t.Fatalf("%s is stalled, but still relays the list", next.Holder)
	}
	for _, name := range rest {
		if name != next.Holder {
			eventually(t, name+" gets the list from the new relay", func() bool {
				return strings.Contains(r.logOf(name), receivedFromLog(next.Holder))
			})
		}
	}
	resume()
	r.waitWatches("one instance polls for all again", 1)
	r.checkWhileDiscoveryFails()
	r.waitWatches("one instance polls for all once more", 1)
	// With the relay off, each instance polls discovery.
	r.setSections("n1", "[section.duties]\nlist = \"off\"\n")
	r.waitWatches("each polls discovery again", 3)
	r.kill("n1", syscall.SIGTERM)
}

// checkWhileDiscoveryFails checks that, while discovery fails, no instance reports an unchanged list, and
// that a restarted instance, which knows no worker, does not relay an empty list to the others.
func (r *listRelay) checkWhileDiscoveryFails() {
	r.t.Helper()
	r.discovery.setFailing(true)
	r.discovery.CloseClientConnections()
	eventually(r.t, "the instances poll discovery directly", func() bool {
		return strings.Count(r.logOf("n1")+r.logOf("n2")+r.logOf("n3"), "polling discovery directly") >= 2
	})
	restarted := without(r.all, r.waitHeld("list", 0, r.all...).Holder)[0]
	r.kill(restarted, syscall.SIGKILL)
	r.start(restarted)
	r.waitAdmitting(restarted)
	eventually(r.t, restarted+" holds the list task", func() bool {
		r.run("duty", "hand-on", "list", restarted, "--config", restarted+".toml")
		d := r.task("list", r.all...)
		return d != nil && d.Holder == restarted
	})
	time.Sleep(700 * time.Millisecond) // longer than a heartbeat, in which nothing must be relayed
	for _, name := range without(r.all, restarted) {
		r.waitWorkerKnown(name) // while discovery still fails
		if strings.Contains(r.logOf(name), `"generation":0`) {
			r.t.Errorf("%s got a list from an instance that has none", name)
		}
	}
	r.discovery.setFailing(false)
}

// A relay that cannot reach one follower, or is not reached by it, keeps the task. That follower polls
// discovery directly meanwhile and then receives the list from the relay again.
func TestEndpointListWhileItsRelayIsCutFromOne(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.links = faultinjection.NewLinks()
	t.Cleanup(g.links.Close)
	c := startDiscoveryStub(t)
	g.discovery = c.address()
	all := []string{"n1", "n2", "n3"}
	g.form(all...)
	g.setSections("n1", "[section.rollout]\nlease = \"2s\"\n[section.duties]\nlist = \"on\"\n")
	eventually(t, "one instance polls for all", func() bool { return c.watchCount() == 1 })
	// Neither is the leader, so that only the list is sent between them.
	others := without(all, g.leader(all...))
	relay, follower := others[0], others[1]
	if g.waitHeld("list", 0, all...).Holder != relay {
		g.mustWithLeader("duty", "hand-on", "list", relay, "--config", "n1.toml")
		eventually(t, relay+" relays the list",
			func() bool { return g.waitHeld("list", 0, all...).Holder == relay })
	}
	waitRelayed := func() {
		t.Helper()
		eventually(t, follower+" gets the list from the relay", func() bool {
			log := g.logOf(follower)
			return c.watchCount() == 1 && strings.LastIndex(log, receivedFromLog(relay)) >
				strings.LastIndex(log, "polling discovery directly")
		})
	}
	waitRelayed()
	before := g.waitHeld("list", 0, all...)
	for _, way := range [][2]string{{relay, follower}, {follower, relay}} {
		g.links.Cut(way[0], way[1])
		within(t, 2*waitLimit, follower+" polls discovery directly",
			func() bool { return c.watchCount() == 2 })
		g.links.Heal()
		waitRelayed()
	}
	if now := g.waitHeld("list", 0, all...); now.Number != before.Number {
		t.Errorf("list task: held by %s with fencing token %d before, now by %s with %d", relay,
			before.Number, now.Holder, now.Number)
	}
}
