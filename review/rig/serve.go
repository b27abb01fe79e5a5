package main

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

const (
	serveInstances = 5
	serveTriggers  = 20
	serveEvery     = 5 * time.Second // each trigger is due
	serveLate      = 10 * time.Second
	serveDown      = 24 * time.Second // how long the killed instance is down
)

// runServe kills one instance of a group of five whose rule for instances that are cut off is "serve", and
// starts it again. Each occurrence of the triggers must be fired within the time that its trigger allows.
func runServe(r *rig) {
	p := newPlatform(r, serveInstances, 5, func(k int) int { return k % 2 }, 25*time.Second)
	processes := startGroup(r, p, "50ms",
		class("trip-quote", "retryable", "all", 5*time.Second, 5*time.Second),
		class("trip-book", "dedup", "cell", 15*time.Second, 25*time.Second))
	var section strings.Builder
	cutOff := "serve"
	if r.control {
		cutOff = "lease"
	}
	fmt.Fprintf(&section, "\n[section.rollout]\ncut_off = %q\n\n[section.schedule]\nzone = \"Asia/Muscat\"\n",
		cutOff)
	for k := range serveTriggers {
		fmt.Fprintf(&section, "\"trigger.standing-%d\" = \"*/%d * * * * * zone=UTC class=trip-quote late=%v "+
			"path=/standing/%d body=trip-quote\"\n", k, int(serveEvery.Seconds()), serveLate, k)
	}
	propose(r, section.String())
	time.Sleep(12 * time.Second)
	from := time.Now()
	name, file := "n3", r.dir+"/n3.toml"
	if r.trouble {
		r.log("SIGKILL to %s", name)
		_ = processes[2].Process.Signal(syscall.SIGKILL)
		_ = processes[2].Wait()
	}
	time.Sleep(serveDown)
	if r.trouble {
		r.start(name+"-again.log", "serve --config "+file)
	}
	time.Sleep(serveLate + 8*time.Second)
	r.log("status:\n%s", r.must("cluster status --config "+r.dir+"/n1.toml"))
	p.judgeOccurrences(from)
	r.logInstances(serveInstances)
}

// propose adds sections to the configuration of the group.
func propose(r *rig, sections string) {
	config := r.must("config get --config " + r.dir + "/n1.toml")
	if i := strings.Index(config, "[section"); i >= 0 {
		config = config[:i]
	}
	file := r.write("new.toml", config+sections)
	r.must("config propose " + file + " --config " + r.dir + "/n1.toml")
	r.log("configuration:%s", sections)
}

// judgeOccurrences reports the occurrences that were due after a time, and didn't run although the latest
// time at which their triggers may be fired has passed.
func (p *platform) judgeOccurrences(from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ran := map[string]time.Time{}
	for _, run := range p.runs {
		if _, ok := ran[run.id]; !ok {
			ran[run.id] = run.began
		}
	}
	expected, missing, latest := 0, 0, time.Duration(0)
	for at := from.Truncate(serveEvery).Add(serveEvery).UTC(); time.Since(at) > serveLate+2*time.Second; at = at.
		Add(serveEvery) {
		layout := "2006-01-02T15:04:05"
		if at.Second() == 0 {
			layout = "2006-01-02T15:04"
		}
		for k := range serveTriggers {
			id := fmt.Sprintf("standing-%d@%s", k, at.Format(layout))
			expected++
			began, ok := ran[id]
			if latest = max(latest, began.Sub(at)); !ok {
				missing++
				p.rig.breaks("%s was never fired", id)
			}
		}
	}
	p.rig.log("%d occurrences were due, %d of them were never fired; of the others the latest was fired %.3f s "+
		"late", expected, missing, latest.Seconds())
	if expected == 0 {
		p.rig.breaks("no occurrence was due")
	}
}

// startGroup starts a group of instances, as docs/operators/cluster.md shows, and returns their processes.
func startGroup(r *rig, p *platform, tick string, classes ...map[string]any) (processes []*exec.Cmd) {
	r.must("keys new-ca --dir " + r.dir + "/keys")
	peers := make([]string, len(p.nodes))
	for k, n := range p.nodes {
		name := fmt.Sprintf("n%d", k+1)
		p.writeConfig(n, name, settings(len(p.nodes), classes...))
		peers[k] = r.freeAddress()
		r.must(fmt.Sprintf("keys issue %s --dir %s/keys", name, r.dir))
		file := r.write(name+".toml", fmt.Sprintf(`name = %q
data = "data-%[1]s"
[front]
platform = "%[1]s.json"
listen = %[2]q
discovery = %[3]q
[peers]
listen = %[4]q
tick = %[5]q
[keys]
ca = "keys/ca.crt"
cert = "keys/%[1]s.crt"
key = "keys/%[1]s.key"
[control]
socket = "%[1]s.sock"
`, name, n.listen, n.discovery, peers[k], tick))
		processes = append(processes, r.start(name+".log", "serve --config "+file))
	}
	one := " --config " + r.dir + "/n1.toml"
	r.must("cluster init" + one)
	for k := 1; k < len(peers); k++ {
		r.must(fmt.Sprintf("cluster add n%d %s --promote%s", k+1, peers[k], one))
	}
	for _, n := range p.nodes {
		r.waitHealthy(n.listen)
	}
	return processes
}

// logInstances adds the logs of the instances to the record.
func (r *rig) logInstances(count int) {
	for k := range count {
		r.log("log of n%d:\n%s", k+1, r.logOf(fmt.Sprintf("n%d.log", k+1)))
	}
}
