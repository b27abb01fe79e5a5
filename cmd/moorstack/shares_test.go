package main

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"moorstack/internal/verify/emulate"
	"moorstack/internal/verify/emulate/loopback"
)

// steady has sessions last on a machine that is busy: with each that ends, others use the workers.
const steady = "[section.rollout]\nlease = \"2s\"\n"

// stages starts nine workers for each instance, by the same names: their call-backs go to one node. Then
// it starts the instances.
func (g *group) stages(names []string, of func(name string) loopback.Options) {
	g.fronts, g.own = map[string]string{}, map[string]string{}
	for _, name := range names {
		g.fronts[name] = freeAddress(g.t)
		o := of(name)
		o.Node, o.Workers, o.Zone, o.Kind, o.Seed = g.fronts[name], cmp.Or(o.Workers, 9), "z", "k", 1
		o.Spec = emulate.WorkerSpec{Cores: 8, Slots: 64, QueueCapacity: 256, Speed: 1,
			SlowStartWindow:   time.Millisecond,
			SlowStartMinShare: 1, ReportInterval: 200 * time.Millisecond}
		s, err := loopback.Start(o)
		check(g.t, err)
		g.t.Cleanup(s.Close)
		g.own[name] = s.DiscoveryAddress()
	}
}

// Each of three instances uses three of nine workers, and each worker is used by one; when an instance
// dies the two that are left share them anew, and when it comes back it has its own again. Nonsense
// changes nothing.
func TestInstancesUsePartsOfTheWorkers(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	names := []string{"n1", "n2", "n3"}
	var mu sync.Mutex
	used := map[string]map[string]bool{} // by instance: the workers that have taken its jobs
	for _, name := range names {
		used[name] = map[string]bool{}
	}
	g.stages(names, func(name string) loopback.Options {
		return loopback.Options{OnJob: func(worker, _ string) {
			mu.Lock()
			defer mu.Unlock()
			used[name][worker] = true
		}}
	})
	g.form(names...)
	for want, bad := range map[string]string{"is not a number of workers": `subset = "1"`,
		"is not group": `cold_parts = "mine"`, "is no key": `subsets = "3"`} {
		if out, code := g.propose("n1", "[section.workers]\n"+bad+"\n"); code == 0 ||
			!strings.Contains(out, want) {
			t.Errorf("%s: exit %d: %s", bad, code, out)
		}
	}
	if out, code := g.propose("n1",
		steady+"[section.workers]\nsubset = \"3\"\ncold_parts = \"group\"\n"); code != 0 {
		t.Fatal(out)
	}
	// settles waits until the workers that are used by these instances, each of so many, are all
	// different ones. Which of its own one takes a job is the module's choice, and may leave one out for
	// long: what was seen counts until it can't be.
	settles := func(what string, size int, names ...string) map[string]string {
		t.Helper()
		by := map[string]string{}
		forget := func() {
			for _, set := range used {
				clear(set)
			}
		}
		mu.Lock()
		forget()
		mu.Unlock()
		within(t, time.Minute, what, func() bool {
			for _, name := range names {
				for range 12 * size {
					g.job(name)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			clear(by)
			n, most := 0, 0
			for _, name := range names {
				for w := range used[name] {
					by[w] = name
					n++
				}
				most = max(most, len(used[name]))
			}
			if most > size || len(by) < n {
				forget()
			}
			return n == size*len(names) && len(by) == n
		})
		return by
	}
	before := settles("each instance uses three workers of its own", 3, names...)
	if len(before) != 9 {
		t.Errorf("of nine workers these are used: %v", slices.Sorted(maps.Keys(before)))
	}
	g.kill("n3", syscall.SIGKILL)
	settles("two instances use three each", 3, "n1", "n2")
	g.start("n3")
	g.admits("n3")
	if after := settles("the third one is back", 3, names...); !maps.Equal(before, after) {
		t.Errorf("the same three instances use workers otherwise than before: %v, %v", before, after)
	}
}

// A worker at which two of three instances' jobs fail is given nothing by all but the one whose turn it
// is to try it; what one alone has seen, or says, changes nothing for others.
func TestWhatSeveralHaveSeenIsBelieved(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	names := []string{"n1", "n2", "n3"}
	const sick = "w00004"
	var mu sync.Mutex
	fails := map[string]bool{"n3": true}
	g.stages(names, func(name string) loopback.Options {
		return loopback.Options{FailJob: func(worker string) bool {
			mu.Lock()
			defer mu.Unlock()
			return fails[name] && worker == sick
		}}
	})
	g.form(names...)
	if out, code := g.propose("n1", steady+"[section.workers]\nwitnesses = \"on\"\n"); code != 0 {
		t.Fatal(out)
	}
	jobs := func() {
		var wg sync.WaitGroup
		for _, name := range names {
			for range 4 {
				wg.Go(func() {
					for range 20 {
						g.job(name)
					}
				})
			}
		}
		wg.Wait()
	}
	shunning := func() (n int) {
		for _, name := range names {
			if strings.Contains(g.must("cluster", "status", "--config", name+".toml", "--output", "json"),
				`"workers_shunned": 1`) {
				n++
			}
		}
		return n
	}
	for range 5 {
		jobs()
		if n := shunning(); n > 0 {
			t.Fatalf("%d shun a worker by one's word", n)
		}
	}
	mu.Lock()
	fails["n1"], fails["n2"], fails["n3"] = true, true, false
	mu.Unlock()
	within(t, time.Minute, "what two have seen is believed", func() bool {
		jobs()
		return shunning() > 0
	})
	mu.Lock()
	clear(fails)
	mu.Unlock()
	within(t, time.Minute, "a worker that is well is used again", func() bool {
		jobs()
		return shunning() == 0
	})
}

// While two instances know the workers' list in different generations, each uses as many of its own as it is
// to, and every job is served.
func TestWorkersOfDifferentLists(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	names := []string{"n1", "n2", "n3"}
	var mu sync.Mutex
	used := map[string]map[string]bool{}
	g.stages(names, func(name string) loopback.Options {
		used[name] = map[string]bool{}
		return loopback.Options{Workers: map[string]int{"n1": 9, "n2": 7, "n3": 12}[name],
			OnJob: func(worker, _ string) {
				mu.Lock()
				defer mu.Unlock()
				used[name][worker] = true
			}}
	})
	g.form(names...)
	if out, code := g.propose("n1", steady+"[section.workers]\nsubset = \"3\"\n"); code != 0 {
		t.Fatal(out)
	}
	for _, name := range names {
		within(t, time.Minute, name+" uses three", func() bool {
			mu.Lock()
			clear(used[name])
			mu.Unlock()
			// A machine that is busy may have one refused: it is told when to come back.
			for served, n := 0, 0; served < 60; n++ {
				status, head := g.job(name)
				if status == 200 {
					served++
				} else if status != 503 || head.Get("Retry-After") == "" || n > 300 {
					t.Fatalf("%s: job %d is answered %d: %v", name, n, status, head)
				} else {
					time.Sleep(50 * time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			return len(used[name]) > 0 && len(used[name]) <= 3
		})
	}
}
