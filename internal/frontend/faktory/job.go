package faktory

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

// jobState is a job's state, as the protocol's TRACK names it.
type jobState string

const (
	enqueued jobState = "enqueued"
	working  jobState = "working"
	success  jobState = "success"
	failed   jobState = "failed"
)

// job is a pushed job. It is kept for ResponseRetention after its final response.
type job struct {
	front   *Front
	payload []byte // the job as it was pushed; nil once the job has finished
	jobBody
	digest       [sha256.Size]byte // of job type and arguments, to recognise a repeated push
	state        jobState
	accepted     bool // PUSH got OK as its reply
	finished     bool // the final response is known
	responseRead bool // a producer has read the final response
	rejected     bool
	retryAfter   time.Duration
	rejectReason string // from the admission controller; empty: none given
	updatedAt    time.Time
}

var _ broker.Client = (*job)(nil)

// rejection is the error for a job that may be pushed again later.
type rejection struct {
	reason     string
	retryAfter time.Duration
}

func (r rejection) Error() string {
	return fmt.Sprintf("BUSY %s; retry after %.3f s", r.reason, r.retryAfter.Seconds())
}

// defaultRetryAfter is the retry time of rejections that this front makes, and the minimum of those by
// routing rules.
const defaultRetryAfter = time.Second

// push accepts a job. Otherwise it returns a rejection, or another error if the job is invalid or has failed.
func (f *Front) push(payload []byte) error {
	j := &job{front: f, payload: append([]byte(nil), payload...), state: enqueued, updatedAt: time.Now()}
	if err := json.Unmarshal(payload, &j.jobBody); err != nil {
		return fmt.Errorf("the job is not JSON as it should be: %w", err)
	}
	request, decision, err := f.parseRequest(j)
	if err != nil {
		return err
	}
	if decision.RejectReason != "" {
		return rejection{decision.RejectReason, max(decision.RetryAfter, defaultRetryAfter)}
	}
	j.digest = sha256.Sum256(append([]byte(j.Type+"\x00"), j.Args...))
	j.Args = nil
	if old := f.jobs[j.JID]; old != nil && !old.rejected {
		// A producer whose connection broke pushes an accepted job again, which must not run
		// twice. The first push remains in force.
		return old.checkDuplicate(j)
	}
	if f.draining {
		return rejection{"this node is ending", defaultRetryAfter}
	}
	// The byte limit is needed as well, since MaxJobs jobs of the maximum size would exceed the node's
	// memory.
	if len(f.jobs) >= f.cfg.MaxJobs || f.pendingBytes+len(payload) > f.cfg.MaxJobBytes {
		return rejection{"as many jobs are held as may be", defaultRetryAfter}
	}
	return f.submit(request, j)
}

// submit passes a job to the broker, which may respond before Submit returns.
func (f *Front) submit(request broker.Request, j *job) error {
	size := len(j.payload)
	f.jobs[j.JID] = j
	f.pendingBytes += size
	if err := f.broker.Submit(request, j); err != nil {
		delete(f.jobs, j.JID)
		f.pendingBytes -= size
		return rejection{err.Error(), defaultRetryAfter}
	}
	if !j.finished {
		j.accepted = true
		return nil
	}
	// The reply to PUSH already has the response, so that the job need not be kept.
	delete(f.jobs, j.JID)
	if j.rejected {
		return rejection{cmp.Or(j.rejectReason, "refused"), j.retryAfter}
	}
	return errors.New("the job has failed")
}

// checkDuplicate returns the result of another push with the job's jid: nil if it repeats a job that has
// not failed, otherwise an error.
func (j *job) checkDuplicate(other *job) error {
	switch {
	case other.digest != j.digest:
		return fmt.Errorf("jid %s is in use by another job", j.JID)
	case j.finished && j.state == failed:
		return fmt.Errorf("job %s has failed already; a new try needs a new jid", j.JID)
	}
	return nil
}

// Respond implements broker.Client. It keeps the final response until the producer reads it or it expires.
func (j *job) Respond(response broker.Response) {
	j.finished, j.updatedAt = true, time.Now()
	j.front.pendingBytes -= len(j.payload)
	j.payload = nil
	switch response.Kind {
	case broker.Served:
		j.state = success
		j.front.counts.served++
	case broker.Rejected:
		j.state, j.rejected = failed, true
		j.retryAfter, j.rejectReason = response.RetryAfter, response.Reason
		j.front.counts.rejected++
	default:
		j.state = failed
		j.front.counts.failed++
	}
	if !j.accepted {
		return // the reply to PUSH has the response
	}
	j.front.loop.After(j.front.cfg.ResponseRetention, func() {
		if j.front.jobs[j.JID] == j { // not replaced by a later push after a rejection
			delete(j.front.jobs, j.JID)
		}
	})
}

// route applies the routing rules to a request and copies their decision to it.
func (f *Front) route(request *broker.Request, j *job, tenant int) routing.Decision {
	if f.routingTable == nil {
		return routing.Decision{}
	}
	d := f.routingTable.Decide(&routing.Job{Front: "faktory", Class: request.Class, Tenant: tenant,
		Queue: j.Queue, JobType: j.Type, ExpectedWork: request.ExpectedWork, ID: request.ID})
	request.Class, request.Route = d.Class, d.Route
	request.MaxAttempts, request.AttemptTimeout = d.MaxAttempts, d.AttemptTimeout
	return d
}
