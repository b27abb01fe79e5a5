package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

// holder returns which instance holds a leased task; empty: none.
func (g *group) holder(task string) string {
	out, err := g.command("duty", "show", task, "--config", "n3.toml", "--output", "json")
	var d struct {
		Holder string `json:"holder"`
	}
	if err != nil || json.Unmarshal([]byte(out), &d) != nil {
		return ""
	}
	return d.Holder
}

// staleRelay has one instance of a group watch discovery for all. Its watch falls silent, a worker begins to
// drain, and another instance, which was restarted, is told so by discovery itself.
func staleRelay(w *world) (v verdict) {
	d := startDiscovery(w)
	f := &fleet{world: w, work: 100 * time.Millisecond}
	for n := range 6 {
		name := fmt.Sprintf("s-%04d", n)
		d.add(entry{ID: name, Address: f.start(name), Zone: []string{"ruwi", "seeb"}[n%2], Kind: "eight-core",
			Cell: n / 3, Lifecycle: "SERVING", Weight: 1})
	}
	g, err := newGroup(w, func(name string) string {
		return d.serverFor(name).Listener.Addr().String()
	}, "[section.duties]\nlist = \"on\"\n")
	if err != nil {
		return verdict{notRun: err.Error()}
	}
	f.back = func(id string) string { return g.listen[id[:2]] }
	const relay, restarted, drained = "n3", "n2", "s-0002"
	if eventually(30*time.Second, func() bool {
		if g.holder("list") == relay {
			return d.watchCount() == 1
		}
		_, _ = g.command("duty", "hand-on", "list", relay, "--config", "n1.toml")
		time.Sleep(500 * time.Millisecond)
		return false
	}) != nil {
		return verdict{notRun: "the list is not relayed by one instance"}
	}
	w.logf("%s relays the list", relay)
	c, stop, others := newClients(w), make(chan struct{}), make(chan struct{})
	go c.send("n1", g.listen["n1"], 40*time.Millisecond, stop)
	go c.send(restarted, g.listen[restarted], 40*time.Millisecond, others)
	time.Sleep(2 * time.Second)

	// A planned restart: the front stops, SIGTERM, the process ends, and it is started again.
	close(others)
	g.processes[restarted].signal(syscall.SIGTERM)
	<-g.processes[restarted].exited
	d.awaitBeat()
	if w.trouble && d.silence() != 1 {
		return verdict{notRun: "there is not just the relay's watch"}
	}
	d.set(drained, "DRAINING")
	if err := g.start(restarted); err != nil {
		return verdict{notRun: err.Error()}
	}
	if eventually(10*time.Second, func() bool { return ready(g.listen[restarted]) }) != nil {
		return verdict{notRun: restarted + " is not ready"}
	}
	w.logf("%s is ready", restarted)
	go c.send(restarted, g.listen[restarted], 20*time.Millisecond, stop)
	time.Sleep(8 * time.Second)
	close(stop)
	c.wg.Wait()
	told, ok := d.toldAt(restarted, drained, "DRAINING")
	if !ok {
		return verdict{notRun: restarted + " was never told by discovery"}
	}
	limit := told + drainGrace + socketSlack
	w.logf("%s was told at %.3f that %s drains; clients' answers: %v", restarted, told.Seconds(), drained, c.counts)
	for _, a := range f.attempts() {
		if a.worker == drained && a.id[:2] == restarted && a.at > limit {
			v.breaks = append(v.breaks, fmt.Sprintf("%s got %s at %.3f, %.3f s after the limit", drained, a.id,
				a.at.Seconds(), (a.at-limit).Seconds()))
		}
	}
	return v
}
