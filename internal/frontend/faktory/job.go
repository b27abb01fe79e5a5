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

// jobState is a job's state, in the words of the protocol's TRACK.
type jobState string

const (
	enqueued jobState = "enqueued"
	working  jobState = "working"
	success  jobState = "success"
	failed   jobState = "failed"
)

// job is a job that was pushed, kept for a while after its final response.
type job struct {
	front   *Front
	payload []byte // as it was pushed; nil once the job has finished
	jobBody
	digest       [sha256.Size]byte // of what makes it this job and no other
	state        jobState
	accepted     bool // PUSH was answered with OK
	finished     bool // it has its final response
	responseRead bool // and that has been read
	rejected     bool
	retryAfter   time.Duration
	rejectReason string // where the admission controller gave one
	updatedAt    time.Time
}

var _ broker.Client = (*job)(nil)

// rejection is the error of a job that may be pushed again later.
type rejection struct {
	reason     string
	retryAfter time.Duration
}

func (r rejection) Error() string {
	return fmt.Sprintf("BUSY %s; retry after %.3f s", r.reason, r.retryAfter.Seconds())
}

// defaultRetryAfter is the least wait after a rejection that has no time of its own.
const defaultRetryAfter = time.Second

// push accepts a job, or fails with a rejection or another reason.
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
		// Hazard: a producer whose connection broke pushes again what was accepted: it would
		// run twice. The first push stands.
		return old.checkDuplicate(j)
	}
	if f.draining {
		return rejection{"this node is ending", defaultRetryAfter}
	}
	// Hazard: the largest jobs, as many as are allowed, are more than the node's memory.
	if len(f.jobs) >= f.cfg.MaxJobs || f.pendingBytes+len(payload) > f.cfg.MaxJobBytes {
		return rejection{"as many jobs are held as may be", defaultRetryAfter}
	}
	return f.submit(request, j)
}

// submit gives a job to the broker, which may respond before it returns.
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
	// The response is given here and now, and so there is nothing to read later.
	delete(f.jobs, j.JID)
	if j.rejected {
		return rejection{cmp.Or(j.rejectReason, "refused"), j.retryAfter}
	}
	return errors.New("the job has failed")
}

// checkDuplicate is the result of another push with the job's jid.
func (j *job) checkDuplicate(other *job) error {
	switch {
	case other.digest != j.digest:
		return fmt.Errorf("jid %s is in use by another job", j.JID)
	case j.finished && j.state == failed:
		return fmt.Errorf("job %s has failed already; a new try needs a new jid", j.JID)
	}
	return nil
}

// Respond keeps the final response for the producer to read.
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
		return // PUSH itself brings the response
	}
	j.front.loop.After(j.front.cfg.ResponseRetention, func() {
		if j.front.jobs[j.JID] == j { // not a later push after a rejection
			delete(j.front.jobs, j.JID)
		}
	})
}

// route has the routing rules decide on a request, and takes over what they decide.
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
