package node

import (
	"fmt"
	"sync/atomic"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/proxy/broker"
)

// Retry-After of rejections: a change is applied soon, and replacing a lost leader takes about one lease.
const (
	retryAfterChange    = 50 * time.Millisecond
	retryAfterLeaseLoss = time.Second
)

// admission admits jobs while this instance holds a valid permit for the revision that its fronts run. It is
// confined to the node's loop; only the counter may be read from other goroutines.
type admission struct {
	env       *environment
	permit    rollout.Permit
	running   uint64 // the revision that the fronts run; 0: no agreed revision
	rejected  atomic.Uint64
	rateLimit *rateLimitDriver
	slowStart *slowStartDriver
}

var _ broker.AdmissionController = (*admission)(nil)

// newAdmission returns an admission that rejects every job until the group grants a permit. Its drivers must
// be set before the loop runs.
func newAdmission(env *environment) *admission {
	return &admission{env: env, permit: rollout.Permit{ClosedReason: "this instance belongs to no group yet"}}
}

// Admit implements broker.AdmissionController.
func (a *admission) Admit(r *broker.Request) (broker.Rejection, bool) {
	// The clock is read here, independent of any timer, and decides whether the job is admitted: the process
	// may have been stalled for a long time with this job in its buffers, and the permit may have expired.
	now := consensus.BootTime()
	a.slowStart.expire(now)
	if !a.permit.Admits(now, a.running) {
		a.rejected.Add(1)
		return broker.Rejection{Reason: a.rejectionReason(), RetryAfter: a.retryAfter()}, false
	}
	if rejection, ok := a.rateLimit.admit(now, r); !ok {
		return rejection, false
	}
	if a.env.audit.enabled() {
		a.env.audit.writeAt(now, "admit %d %s", a.running, r.ID)
	}
	return broker.Rejection{}, true
}

func (a *admission) rejectionReason() string {
	switch {
	case a.permit.ClosedReason != "":
		return a.permit.ClosedReason
	case a.permit.Revision != a.running:
		return fmt.Sprintf("revision %d is in force, and %d runs here", a.permit.Revision, a.running)
	}
	return "its lease has run out"
}

func (a *admission) retryAfter() time.Duration {
	if a.permit.Change != "" {
		return retryAfterChange
	}
	return retryAfterLeaseLoss
}

// setRunning sets the revision that the fronts run from this turn on. An older revision is ignored.
func (a *admission) setRunning(revision uint64) {
	if revision <= a.running {
		return
	}
	a.running = revision
	a.env.audit.write("run %d", revision)
	a.auditOpening()
}

// auditOpening writes to the audit log that jobs are admitted from this turn on, if the permit is for the
// revision that the fronts run.
func (a *admission) auditOpening() {
	if a.permit.Open && a.permit.Revision == a.running && (a.permit.NoExpiry || a.permit.ExpiresAt > 0) {
		a.env.audit.write("open %d", a.running)
	}
}

// permitChanged applies a new permit, or its withdrawal. It is called on the runner's goroutine.
func (a *admission) permitChanged(p rollout.Permit) {
	a.env.loop().Post(func() {
		a.logPermit(p)
		a.permit = p
		a.auditOpening()
		// Acknowledge only now: the group relies on the fronts having stopped admitting jobs.
		if !p.Open && p.Change != "" {
			a.env.runner.ReportAdmissionClosed(p.Change, p.Attempt)
		}
	})
}

// logPermit logs a permit that differs from the previous one in more than its expiry.
func (a *admission) logPermit(p rollout.Permit) {
	if a.permit.Open == p.Open && (p.Open || a.permit.ClosedReason == p.ClosedReason) {
		return
	}
	a.env.audit.write("permit open=%v revision=%d why=%q", p.Open, p.Revision, p.ClosedReason)
	entry := a.env.log.WithField("revision", p.Revision)
	switch {
	case p.Open:
		entry.Info("admission opened")
	case p.Change != "":
		entry.WithField("change", p.Change).Info("admission paused for a change")
	default:
		entry.WithField("reason", p.ClosedReason).Warn("admission closed")
	}
}
