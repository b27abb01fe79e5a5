package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	podWindow    = 25 * time.Second
	longJob      = 30 * time.Second
	dieAfter     = 3 * time.Second
	returnsAfter = 20 * time.Second
	jobDeadline  = 90 // seconds that the producer waits
)

// faktoryPod is a pod of Faktory workers, which know each other's keys for podWindow.
type faktoryPod struct {
	mu    sync.Mutex
	known map[string]time.Time // by jid: when it first began
	runs  []jobRun
}

// runWindow lets one Faktory worker of five die with a job of a keyed class, while its pod's other worker is
// busy for longer than the pod remembers keys.
func runWindow(r *rig) {
	p := newPlatform(r, 1, 1, func(int) int { return 1 }, podWindow)
	n := p.nodes[0]
	config := p.writeConfig(n, "n0", settings(1,
		class("trip-quote", "retryable", "all", 5*time.Second, 5*time.Second),
		class("trip-book", "dedup", "cell", 15*time.Second, podWindow)))
	faktoryFile, address := r.writeFaktory()
	r.start("n0.log", "--faktory "+faktoryFile, "BALANCER_CONFIG="+config)
	r.waitHealthy(n.listen)
	pods := []*faktoryPod{{known: map[string]time.Time{}}, {known: map[string]time.Time{}}}
	var died sync.Once
	for k := range 5 {
		pod := pods[min(k/2, 1)]
		go faktoryWorker(r, address, k, min(k/2, 1)+1, pod, &died)
	}
	time.Sleep(500 * time.Millisecond)
	producer, err := dialFaktory(address, "")
	if err != nil {
		r.cannotRun("Faktory producer: %v", err)
	}
	var jids []string
	for k := range 5 {
		jid := fmt.Sprintf("booking-%04d", k)
		jids = append(jids, jid)
		err := producer.push(jid, "trip-book", jobDeadline, longJob.Seconds())
		r.log("%s pushed: %v", jid, err)
	}
	time.Sleep(2*longJob + 10*time.Second)
	for _, jid := range jids {
		r.log("%s: %s", jid, producer.state(jid))
	}
	for _, pod := range pods {
		judgeRuns(r, &platform{runs: pod.runs}, podWindow)
	}
	r.log("log of the node:\n%s", r.logOf("n0.log"))
}

// faktoryWorker fetches one job at a time and runs it. The first worker of the first pod to run a job dies
// with it if there is trouble, and comes back.
func faktoryWorker(r *rig, address string, k, number int, pod *faktoryPod, died *sync.Once) {
	wid := fmt.Sprintf("wid-%d", k)
	for {
		w, err := dialFaktory(address, wid, fmt.Sprintf("pod:%d", number))
		if err != nil {
			r.log("%s: %v", wid, err)
			return
		}
		r.log("%s, pod %d: connected", wid, number)
		for {
			jid, work, err := w.fetch()
			if errors.Is(err, errNoJob) {
				continue
			} else if err != nil {
				r.log("%s: %v", wid, err)
				return
			}
			if pod.begin(r, wid, jid) {
				dies := false
				if r.trouble && number == 1 {
					died.Do(func() { dies = true })
				}
				if dies {
					time.Sleep(dieAfter)
					r.log("%s dies, its connection is reset", wid)
					w.reset()
					time.Sleep(returnsAfter)
					break
				}
				time.Sleep(work)
			}
			r.log("%s: ACK of %s: %v", wid, jid, w.ack(jid))
		}
	}
}

// begin records that a worker begins a job; it returns false if the pod drops it as a repeat.
func (p *faktoryPod) begin(r *rig, wid, jid string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if first, ok := p.known[jid]; ok && time.Since(first) < podWindow {
		r.log("%s: %s dropped as a repeat, %.3f s after the first", wid, jid, time.Since(first).Seconds())
		return false
	}
	p.known[jid] = time.Now()
	p.runs = append(p.runs, jobRun{wid, jid, jid, time.Now()})
	r.log("%s: %s begins", wid, jid)
	return true
}
