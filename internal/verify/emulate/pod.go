package emulate

import (
	"time"

	"moorstack/balancer"
)

// pod is a group of workers that run a job with an idempotency key once within a window. A nil pod, and a job
// without a key, drop nothing.
type pod struct {
	window time.Duration
	byKey  map[string]*keyedJob
}

// keyedJob is a job that runs in a pod, or has.
type keyedJob struct {
	startedAt  time.Duration
	finished   bool
	duplicates []func(balancer.Result) // that have its result when it has finished
}

// dropDuplicate says whether the key's job has been started within the window. If so, done is called with
// that job's result.
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

// begin follows a job that a worker of the pod starts.
func (p *pod) begin(key string, now time.Duration) {
	if p != nil && key != "" {
		p.byKey[key] = &keyedJob{startedAt: now}
	}
}

// finish follows a job that a worker of the pod has run to its end.
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

// forget follows a job that was cancelled or lost: it may run again. Its duplicates have no result.
func (p *pod) forget(key string) {
	if p != nil && key != "" {
		delete(p.byKey, key)
	}
}
