package emulate

import (
	"time"

	"moorstack/balancer"
)

// pod is a group of workers that run a job with a given idempotency key only once within a window. A nil pod
// drops no duplicates, and jobs without a key are never duplicates.
type pod struct {
	window time.Duration
	byKey  map[string]*keyedJob
}

// keyedJob is a job that was started in the pod.
type keyedJob struct {
	startedAt  time.Duration
	finished   bool
	duplicates []func(balancer.Result) // called with the job's result when it finishes
}

// dropDuplicate reports whether a job with the key was started within the window. If so, it passes that job's
// result to done, now or when it finishes.
func (p *pod) dropDuplicate(key string, now time.Duration, done func(balancer.Result)) bool {
	if p == nil || key == "" {
		return false
	}
	j := p.byKey[key]
	if j == nil || now-j.startedAt >= p.window {
		return false
	}
	if j.finished {
		done(balancer.OK)
	} else {
		j.duplicates = append(j.duplicates, done)
	}
	return true
}

// begin records that a worker of the pod starts a job.
func (p *pod) begin(key string, now time.Duration) {
	if p != nil && key != "" {
		p.byKey[key] = &keyedJob{startedAt: now}
	}
}

// finish records that a worker of the pod has completed a job.
func (p *pod) finish(key string) {
	if p == nil || key == "" {
		return
	}
	if j := p.byKey[key]; j != nil && !j.finished {
		j.finished = true
		for _, done := range j.duplicates {
			done(balancer.OK)
		}
		j.duplicates = nil
	}
}

// forget removes a job that was cancelled or lost, so that it may run again. Its waiting duplicates get no
// result.
func (p *pod) forget(key string) {
	if p != nil && key != "" {
		delete(p.byKey, key)
	}
}
