package main

import (
	"fmt"
	"time"
)

// Figures of the rule on drains: a silent watch's changes count as told after 6 s, the settings' grace is 1 s, and
// every limit on sockets is 50 ms longer.
const (
	toldAfterSilence = 6 * time.Second
	drainGrace       = time.Second
	socketSlack      = 50 * time.Millisecond
)

// cutFromDiscovery cuts three nodes off discovery for some four seconds, while a worker begins to drain.
func cutFromDiscovery(w *world) (v verdict) {
	const nodes = 3
	d := startDiscovery(w)
	f := &fleet{world: w, work: 120 * time.Millisecond}
	for n := range 8 {
		name := fmt.Sprintf("s-%04d", n)
		d.add(entry{ID: name, Address: f.start(name), Zone: []string{"ruwi", "seeb"}[n%2], Kind: "eight-core",
			Cell: n / 4, Lifecycle: "SERVING", Weight: 1})
	}
	addresses, links := map[string]string{}, []*link{}
	f.back = func(id string) string { return addresses[id[:2]] }
	for n := range nodes {
		name := fmt.Sprintf("n%d", n)
		k, err := startLink(w, name, d.address())
		if err != nil {
			return verdict{notRun: err.Error()}
		}
		links = append(links, k)
		addresses[name] = freeAddress()
		path, err := w.nodeConfig(name, n, nodes, addresses[name], k.address())
		if err != nil {
			return verdict{notRun: err.Error()}
		}
		if _, err := w.spawn(name, w.run, "BALANCER_CONFIG="+path, "BALANCER_NAME="+name,
			"BALANCER_LISTEN="+addresses[name], "BALANCER_DISCOVERY="+k.address(), "TMPDIR="+w.dir); err != nil {
			return verdict{notRun: err.Error()}
		}
	}
	for name, address := range addresses {
		if eventually(20*time.Second, func() bool { return ready(address) }) != nil {
			return verdict{notRun: name + " is not ready"}
		}
	}
	c, stop := newClients(w), make(chan struct{})
	for name, address := range addresses {
		go c.send(name, address, 40*time.Millisecond, stop)
	}
	time.Sleep(3 * time.Second)

	d.awaitBeat()
	cutAt := w.now()
	if w.trouble {
		for _, k := range links {
			k.setCut(true)
		}
	}
	time.Sleep(300 * time.Millisecond)
	drained := "s-0002"
	d.set(drained, "DRAINING")
	time.Sleep(4 * time.Second)
	if w.trouble {
		for _, k := range links {
			k.setCut(false)
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	c.wg.Wait()
	limit := cutAt + toldAfterSilence + drainGrace + socketSlack
	w.logf("%s may get new work until %.3f; clients' answers: %v", drained, limit.Seconds(), c.counts)
	for _, a := range f.attempts() {
		if a.worker == drained && a.at > limit {
			v.breaks = append(v.breaks, fmt.Sprintf("%s got %s at %.3f, %.3f s after the limit", drained, a.id,
				a.at.Seconds(), (a.at-limit).Seconds()))
		}
	}
	return v
}
