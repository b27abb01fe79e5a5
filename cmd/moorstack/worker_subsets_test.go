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

// steadyLease has sessions last on a machine that is busy: with each that ends, others use the workers.
const steadyLease = "[section.rollout]\nlease = \"2s\"\n"

// startWithWorkers starts nine workers for each instance, by the same names: their call-backs go to one
// node. Then it starts the instances.
func (g *group) startWithWorkers(names []string, of func(name string) loopback.Options) {
	g.fronts, g.ownDiscovery = map[string]string{}, map[string]string{}
	for _, name := range names {
		g.fronts[name] = freeAddress(g.t)
		o := of(name)
		o.Node, o.Workers, o.Zone, o.Kind, o.Seed = g.fronts[name], cmp.Or(o.Workers, 9), "z", "k", 1
		o.Spec = emulate.WorkerSpec{Cores: 8, Slots: 64, QueueCapacity: 256, Speed: 1,
			SlowStartWindow: time.Millisecond, SlowStartMinShare: 1, ReportInterval: 200 * time.Millisecond}
		s, err := loopback.Start(o)
		check(g.t, err)
		g.t.Cleanup(s.Close)
		g.ownDiscovery[name] = s.DiscoveryAddress()
	}
}

// workerUse records which workers take which instances' jobs.
type workerUse struct {
	*group
	mu   sync.Mutex
	used map[string]map[string]bool // by instance: the workers that have taken its jobs
}

func (u *workerUse) onJob(instance string) func(worker, key string) {
	u.used[instance] = map[string]bool{}
	return func(worker, _ string) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.used[instance][worker] = true
	}
}

// reset begins again; the lock is held.
func (u *workerUse) reset() {
	for _, set := range u.used {
		clear(set)
	}
}

// waitDisjoint waits until the workers that are used by these instances, each of so many, are all
// different ones, and gives the instance of each. Which of its own one takes a job is the module's choice,
// and may pass over one for long: what was observed counts until it can't be.
func (u *workerUse) waitDisjoint(what string, size int, names ...string) map[string]string {
	u.t.Helper()
	by := map[string]string{}
	u.mu.Lock()
	u.reset()
	u.mu.Unlock()
	within(u.t, time.Minute, what, func() bool {
		for _, name := range names {
			for range 12 * size {
				u.sendJob(name)
			}
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		clear(by)
		n, most := 0, 0
		for _, name := range names {
			for w := range u.used[name] {
				by[w] = name
				n++
			}
			most = max(most, len(u.used[name]))
		}
		if most > size || len(by) < n {
			u.reset()
		}
		return n == size*len(names) && len(by) == n
	})
	return by
}

// Each of three instances uses three of nine workers, and each worker is used by one; when an instance
// dies the two that are left share them again, and when it comes back it has its own again. Nonsense
// changes nothing.
func TestInstancesUseSubsetsOfTheWorkers(t *testing.T) {
	t.Parallel()
	g := &workerUse{group: newGroup(t), used: map[string]map[string]bool{}}
	names := []string{"n1", "n2", "n3"}
	g.startWithWorkers(names, func(name string) loopback.Options {
		return loopback.Options{OnJob: g.onJob(name)}
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
		steadyLease+"[section.workers]\nsubset = \"3\"\ncold_parts = \"group\"\n"); code != 0 {
		t.Fatal(out)
	}
	before := g.waitDisjoint("each instance uses three workers of its own", 3, names...)
	if len(before) != 9 {
		t.Errorf("of nine workers these are used: %v", slices.Sorted(maps.Keys(before)))
	}
	g.kill("n3", syscall.SIGKILL)
	g.waitDisjoint("two instances use three each", 3, "n1", "n2")
	g.start("n3")
	g.waitAdmitting("n3")
	if after := g.waitDisjoint("the third one is back", 3, names...); !maps.Equal(before, after) {
		t.Errorf("the same three instances use workers otherwise than before: %v, %v", before, after)
	}
}

// sendJobsToAll sends 80 jobs to each instance, four at a time.
func (g *group) sendJobsToAll(names []string) {
	g.t.Helper()
	var wg sync.WaitGroup
	for _, name := range names {
		for range 4 {
			wg.Go(func() {
				for range 20 {
					g.sendJob(name)
				}
			})
		}
	}
	wg.Wait()
}

// excludingInstances counts the instances that exclude one worker as an outlier.
func (g *group) excludingInstances(names []string) (n int) {
	g.t.Helper()
	for _, name := range names {
		if strings.Contains(g.must("cluster", "status", "--config", name+".toml", "--output", "json"),
			`"workers_shunned": 1`) {
			n++
		}
	}
	return n
}

// A worker at which two of three instances' jobs fail gets nothing from all but the one whose time slot
// it is to try it; what one alone has observed, or reports, changes nothing for others.
func TestOutlierReportsNeedSeveralInstances(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	names := []string{"n1", "n2", "n3"}
	const sick = "w00004"
	var mu sync.Mutex
	fails := map[string]bool{"n3": true}
	g.startWithWorkers(names, func(name string) loopback.Options {
		return loopback.Options{FailJob: func(worker string) bool {
			mu.Lock()
			defer mu.Unlock()
			return fails[name] && worker == sick
		}}
	})
	g.form(names...)
	if out, code := g.propose("n1", steadyLease+"[section.workers]\nwitnesses = \"on\"\n"); code != 0 {
		t.Fatal(out)
	}
	for range 5 {
		g.sendJobsToAll(names)
		if n := g.excludingInstances(names); n > 0 {
			t.Fatalf("%d exclude a worker by the report of one", n)
		}
	}
	mu.Lock()
	fails["n1"], fails["n2"], fails["n3"] = true, true, false
	mu.Unlock()
	within(t, time.Minute, "the reports of two are a quorum", func() bool {
		g.sendJobsToAll(names)
		return g.excludingInstances(names) > 0
	})
	mu.Lock()
	clear(fails)
	mu.Unlock()
	within(t, time.Minute, "a worker that is well is used again", func() bool {
		g.sendJobsToAll(names)
		return g.excludingInstances(names) == 0
	})
}

// While two instances know the workers' list in different generations, each uses as many of its own as it is
// to, and every job is served.
func TestSubsetsWhileEndpointListsDiffer(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	names := []string{"n1", "n2", "n3"}
	var mu sync.Mutex
	used := map[string]map[string]bool{}
	g.startWithWorkers(names, func(name string) loopback.Options {
		used[name] = map[string]bool{}
		return loopback.Options{Workers: map[string]int{"n1": 9, "n2": 7, "n3": 12}[name],
			OnJob: func(worker, _ string) {
				mu.Lock()
				defer mu.Unlock()
				used[name][worker] = true
			}}
	})
	g.form(names...)
	if out, code := g.propose("n1", steadyLease+"[section.workers]\nsubset = \"3\"\n"); code != 0 {
		t.Fatal(out)
	}
	for _, name := range names {
		within(t, time.Minute, name+" uses three", func() bool {
			mu.Lock()
			clear(used[name])
			mu.Unlock()
			// A machine that is busy may have one rejected: it gets a Retry-After.
			for served, n := 0, 0; served < 60; n++ {
				status, head := g.sendJob(name)
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
