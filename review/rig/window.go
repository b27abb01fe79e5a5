package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	podWindow    = 25 * time.Second
	usualJob     = 1400 * time.Millisecond
	heavyJob     = 30 * time.Second
	dieAfter     = time.Second
	returnsAfter = 20 * time.Second
	usualJobs    = 20
	jobDeadline  = 60 // seconds that the producer waits
)

// faktoryPod is a pod of Faktory workers, which know each other's keys for podWindow.
type faktoryPod struct {
	rig    *rig
	number int

	mu    sync.Mutex
	known map[string]time.Time // by jid: when it first began
	runs  []jobRun
}

// windowCase is a node with five Faktory workers in two pods.
type windowCase struct {
	*rig
	address string
}

// runWindow lets one Faktory worker of five die with a job of a keyed class, while its pod's other worker is
// busy with a heavy job for longer than the pod remembers keys.
func runWindow(r *rig) {
	p := newPlatform(r, 1, 1, func(int) int { return 1 }, podWindow)
	n := p.nodes[0]
	config := p.writeConfig(n, "n0", settings(1,
		class("trip-quote", "retryable", "all", 5*time.Second, 5*time.Second),
		class("trip-book", "dedup", "cell", 15*time.Second, podWindow)))
	faktoryFile, address := r.writeFaktory()
	r.start("n0.log", "--faktory "+faktoryFile, "BALANCER_CONFIG="+config)
	r.waitHealthy(n.listen)
	w := &windowCase{rig: r, address: address}
	pods := []*faktoryPod{{rig: r, number: 1}, {rig: r, number: 2}}
	for _, pod := range pods {
		pod.known = map[string]time.Time{}
	}
	producer, err := dialFaktory(address, "")
	if err != nil {
		r.cannotRun("Faktory producer: %v", err)
	}
	go w.worker("wid-0", pods[0], false)
	time.Sleep(500 * time.Millisecond)
	jids := []string{w.push(producer, "heavy-0000", heavyJob)}
	time.Sleep(500 * time.Millisecond)
	go w.worker("wid-1", pods[0], r.trouble)
	time.Sleep(300 * time.Millisecond)
	for k := range usualJobs {
		if k == 1 {
			for m := 2; m < 5; m++ {
				go w.worker(fmt.Sprintf("wid-%d", m), pods[1], false)
			}
		}
		jids = append(jids, w.push(producer, fmt.Sprintf("booking-%04d", k), usualJob))
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(heavyJob)
	for _, jid := range jids {
		r.log("%s: %s", jid, producer.state(jid))
	}
	for _, pod := range pods {
		judgeRuns(r, &platform{runs: pod.runs}, podWindow)
	}
	r.log("log of the node:\n%s", r.logOf("n0.log"))
}

func (w *windowCase) push(producer *faktoryPeer, jid string, work time.Duration) string {
	err := producer.push(jid, "trip-book", jobDeadline, work.Seconds())
	w.log("%s pushed, %v of work: %v", jid, work, err)
	return jid
}

// worker fetches one job at a time and runs it. If it dies, it does so with its first job, and comes back.
func (w *windowCase) worker(wid string, pod *faktoryPod, dies bool) {
	for {
		peer, err := dialFaktory(w.address, wid, fmt.Sprintf("pod:%d", pod.number))
		if err != nil {
			w.log("%s: %v", wid, err)
			return
		}
		w.log("%s, pod %d: connected", wid, pod.number)
		for {
			jid, work, err := peer.fetch()
			if errors.Is(err, errNoJob) {
				continue
			} else if err != nil {
				w.log("%s: %v", wid, err)
				return
			}
			if pod.begin(wid, jid) {
				if dies {
					break
				}
				time.Sleep(work)
			}
			w.log("%s: ACK of %s: %v", wid, jid, peer.ack(jid))
		}
		dies = false
		time.Sleep(dieAfter)
		w.log("%s dies, its connection is reset", wid)
		peer.reset()
		time.Sleep(returnsAfter)
	}
}

// begin records that a worker begins a job; it returns false if the pod drops it as a repeat.
func (p *faktoryPod) begin(wid, jid string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if first, ok := p.known[jid]; ok && time.Since(first) < podWindow {
		p.rig.log("%s: %s dropped as a repeat, %.3f s after the first", wid, jid, time.Since(first).Seconds())
		return false
	}
	p.known[jid] = time.Now()
	p.runs = append(p.runs, jobRun{wid, jid, jid, time.Now()})
	p.rig.log("%s: %s begins", wid, jid)
	return true
}
