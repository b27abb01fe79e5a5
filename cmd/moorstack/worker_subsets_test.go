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

// longLease keeps sessions from ending on a busy machine: when one ends, the other instances change workers.
const longLease = "[section.rollout]\nlease = \"2s\"\n"

// startWithWorkers starts nine workers, or as many as the options say, and discovery for each instance,
// because the workers' call-backs go to one node. The workers' names are the same for all instances.
func (g *group) startWithWorkers(names []string, options func(name string) loopback.Options) {
	g.fronts, g.discoveryOf = map[string]string{}, map[string]string{}
	for _, name := range names {
		g.fronts[name] = freeAddress(g.t)
		o := options(name)
		o.Node, o.Workers, o.Zone, o.Kind, o.Seed = g.fronts[name], cmp.Or(o.Workers, 9), "z", "k", 1
		o.Spec = emulate.WorkerSpec{Cores: 8, Slots: 64, QueueCapacity: 256, Speed: 1,
			SlowStartWindow: time.Millisecond, SlowStartMinShare: 1, ReportInterval: 200 * time.Millisecond}
		s, err := loopback.Start(o)
		check(g.t, err)
		g.t.Cleanup(s.Close)
		g.discoveryOf[name] = s.DiscoveryAddress()
	}
}

// workerUse records which workers run which instances' jobs.
type workerUse struct {
	*group
	mu   sync.Mutex
	used map[string]map[string]bool // by instance: the workers that have run its jobs
}

func (u *workerUse) onJob(instance string) func(worker, key string) {
	u.used[instance] = map[string]bool{}
	return func(worker, _ string) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.used[instance][worker] = true
	}
}

// reset clears the records; u.mu must be held.
func (u *workerUse) reset() {
	for _, set := range u.used {
		clear(set)
	}
}

// logUse logs what has been observed since the last reset, and each instance's view of the group.
func (u *workerUse) logUse(resets int, names []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.t.Logf("%d resets", resets)
	for _, name := range names {
		out, _ := u.run("cluster", "status", "--config", name+".toml")
		u.t.Logf("%s has used %v since the last reset\n%s", name, slices.Sorted(maps.Keys(u.used[name])), out)
	}
}

// waitDisjoint waits until each of these instances uses size workers that no other one uses, and returns the
// instance of each worker. The balancer chooses among an instance's workers and may not use one for long, so
// what was observed is kept until it contradicts the condition.
func (u *workerUse) waitDisjoint(what string, size int, names ...string) map[string]string {
	u.t.Helper()
	instanceOf := map[string]string{}
	u.mu.Lock()
	u.reset()
	u.mu.Unlock()
	resets := 0
	defer func() {
		if u.t.Failed() {
			u.logUse(resets, names)
		}
	}()
	within(u.t, time.Minute, what, func() bool {
		u.sendJobsToAll(names)
		u.mu.Lock()
		defer u.mu.Unlock()
		clear(instanceOf)
		n, largest := 0, 0
		for _, name := range names {
			for w := range u.used[name] {
				instanceOf[w] = name
				n++
			}
			largest = max(largest, len(u.used[name]))
		}
		if largest > size || len(instanceOf) < n {
			u.reset()
			resets++
		}
		return n == size*len(names) && len(instanceOf) == n
	})
	return instanceOf
}

// Each of three instances uses three of nine workers, and each worker is used by one instance. When an
// instance is killed the other two share the workers again; after its restart each uses the same ones as
// before. Invalid settings change nothing.
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
		longLease+"[section.workers]\nsubset = \"3\"\ncold_parts = \"group\"\n"); code != 0 {
		t.Fatal(out)
	}
	before := g.waitDisjoint("each instance uses three workers that no other uses", 3, names...)
	if len(before) != 9 {
		t.Errorf("used workers: %v, want all nine", slices.Sorted(maps.Keys(before)))
	}
	g.kill("n3", syscall.SIGKILL)
	g.waitDisjoint("two instances use three each", 3, "n1", "n2")
	g.start("n3")
	g.waitAdmitting("n3")
	if after := g.waitDisjoint("three instances use three each", 3, names...); !maps.Equal(before, after) {
		t.Errorf("the instances' workers were %v before the restart and are %v after it", before, after)
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

// A worker at which the jobs of two of three instances fail gets no jobs, except from one instance at a time
// that tries it in its time slot. What only a single instance observes and reports does not affect the
// others.
func TestOutlierReportsNeedSeveralInstances(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	names := []string{"n1", "n2", "n3"}
	const failing = "w00004"
	var mu sync.Mutex
	fails := map[string]bool{"n3": true}
	g.startWithWorkers(names, func(name string) loopback.Options {
		return loopback.Options{FailJob: func(worker string) bool {
			mu.Lock()
			defer mu.Unlock()
			return fails[name] && worker == failing
		}}
	})
	g.form(names...)
	if out, code := g.propose("n1", longLease+"[section.workers]\nwitnesses = \"on\"\n"); code != 0 {
		t.Fatal(out)
	}
	for range 5 {
		g.sendJobsToAll(names)
		if n := g.excludingInstances(names); n > 0 {
			t.Fatalf("%d instances exclude a worker that only one has reported", n)
		}
	}
	mu.Lock()
	fails["n1"], fails["n2"], fails["n3"] = true, true, false
	mu.Unlock()
	within(t, time.Minute, "two reports are a quorum", func() bool {
		g.sendJobsToAll(names)
		return g.excludingInstances(names) > 0
	})
	mu.Lock()
	clear(fails)
	mu.Unlock()
	within(t, time.Minute, "a recovered worker is used again", func() bool {
		g.sendJobsToAll(names)
		return g.excludingInstances(names) == 0
	})
}

// While instances have different generations of the endpoint list, each uses no more workers than its subset
// has, and every job is served.
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
	if out, code := g.propose("n1", longLease+"[section.workers]\nsubset = \"3\"\n"); code != 0 {
		t.Fatal(out)
	}
	for _, name := range names {
		within(t, time.Minute, name+" uses three workers", func() bool {
			mu.Lock()
			clear(used[name])
			mu.Unlock()
			// On a busy machine a job may be rejected, with a Retry-After.
			for served, n := 0, 0; served < 60; n++ {
				status, header := g.sendJob(name)
				if status == 200 {
					served++
				} else if status != 503 || header.Get("Retry-After") == "" || n > 300 {
					t.Fatalf("%s: job %d was answered %d with headers %v", name, n, status, header)
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
