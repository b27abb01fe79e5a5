package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// plannedRestarts restarts the instances of a group one after the other while triggers fire.
func plannedRestarts(w *world) (v verdict) {
	y := &yard{world: w, nodes: map[string]string{}, first: map[string]time.Time{}, ran: map[string][]string{},
		work: 900 * time.Millisecond}
	lists := map[string]*discovery{}
	for _, name := range []string{"n1", "n2", "n3"} {
		lists[name] = startDiscovery(w)
	}
	g, err := newGroup(w, func(name string) string { return lists[name].address() }, "")
	if err != nil {
		return verdict{notRun: err.Error()}
	}
	y.nodes = g.listen
	for n := range 4 {
		name := fmt.Sprintf("s-%04d", n)
		for node, address := range y.start(name) {
			lists[node].add(entry{ID: name, Address: address, Zone: "ruwi", Kind: "eight-core", Cell: n / 2,
				Lifecycle: "SERVING", Weight: 1})
		}
	}
	sections := "[section.schedule]\nzone = \"Asia/Muscat\"\n"
	for n := range 12 {
		sections += fmt.Sprintf("\"trigger.t%d\" = \"@every 2s class=trip-quote path=/t%d\"\n", n, n)
	}
	if err := g.configure(sections); err != nil {
		return verdict{notRun: err.Error()}
	}
	time.Sleep(5 * time.Second)
	for n := 0; w.now() < 85*time.Second; n++ {
		name := g.names[n%3]
		if w.trouble {
			g.processes[name].signal(syscall.SIGTERM)
			<-g.processes[name].exited
			if err := g.start(name); err != nil {
				return verdict{notRun: err.Error()}
			}
			_ = eventually(10*time.Second, func() bool { return ready(g.listen[name]) })
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(5 * time.Second)
	out, _ := g.command("cluster", "status", "--config", "n1.toml")
	w.logf("status: %s", out)
	y.mu.Lock()
	defer y.mu.Unlock()
	w.logf("%d occurrences", len(y.ran))
	for id, list := range y.ran {
		if len(list) > 1 {
			v.breaks = append(v.breaks, fmt.Sprintf("%s ran %d times: %s", id, len(list), strings.Join(list, ", ")))
		}
	}
	return v
}
