package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	triggerDeadline = 5 * time.Second
	triggerWindow   = 5 * time.Second
	triggers        = 25
	// slowness is how much slower one worker of five runs, for slowFor.
	slowness = 6
	slowFor  = 30 * time.Second
	// limitSlack is what every time limit is longer by on sockets.
	limitSlack = 50 * time.Millisecond
)

// runTrigger lets a group of three fire triggers of a keyed class whose key all workers know, while one
// worker of five is slow.
func runTrigger(r *rig) {
	p := newPlatform(r, 3, 5, func(int) int { return 1 }, triggerWindow)
	startGroup(r, p, "100ms",
		class("trip-quote", "retryable", "all", 5*time.Second, 5*time.Second),
		class("trip-book", "dedup", "all", triggerDeadline, triggerWindow))
	var section strings.Builder
	section.WriteString("\n[section.schedule]\nzone = \"Asia/Muscat\"\n")
	at := time.Now().UTC().Add(10 * time.Second)
	for k := range triggers {
		fmt.Fprintf(&section, "\"trigger.standing-%d\" = \"%d %d * * * * zone=UTC class=trip-book "+
			"path=/standing/%d body=trip-book\"\n", k, at.Second(), at.Minute(), k)
	}
	propose(r, section.String())
	r.log("the triggers are due at %v", at)
	if r.trouble {
		p.mu.Lock()
		p.workers[0].slowness = slowness
		p.mu.Unlock()
		r.log("%s runs %d times slower from now on", p.workers[0].name, slowness)
		time.AfterFunc(slowFor, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.workers[0].slowness = 1
			r.log("%s runs at its usual speed again", p.workers[0].name)
		})
	}
	time.Sleep(time.Until(at) + 40*time.Second)
	r.log("status:\n%s", r.must("cluster status --config "+r.dir+"/n1.toml"))
	judgeRuns(r, p, triggerWindow)
	r.logInstances(len(p.nodes))
}

// judgeRuns reports the keys that began to run more than once, the later time outside the window.
func judgeRuns(r *rig, p *platform, window time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := map[string]jobRun{}
	for _, run := range p.runs {
		if run.key == "" {
			continue
		}
		earlier, ok := first[run.key]
		if !ok {
			first[run.key] = run
			continue
		}
		after := run.began.Sub(earlier.began)
		if after > window+limitSlack {
			r.breaks("%s ran at %s, and again at %s, sent %.3f s after the first time; the window is %v",
				run.key, earlier.worker, run.worker, after.Seconds(), window)
		}
	}
	r.log("%d jobs ran, %d keys", len(p.runs), len(first))
	if len(first) == 0 {
		r.log("no job ran")
	}
}
