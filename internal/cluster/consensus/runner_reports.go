package consensus

import (
	"context"

	pb "go.etcd.io/raft/v3/raftpb"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// Deliver queues a Raft message from another instance. It never blocks: if the inbox is full, the message is
// dropped and counted.
func (r *Runner) Deliver(from clusterstate.Member, m *pb.Message) {
	if s := r.Status(); s.Revision == 0 {
		r.post(func() {
			if len(r.senders) < maxSenders {
				r.senders[from.ID] = from
			}
		})
	}
	select {
	case r.inbox <- m:
	default:
		r.dropped.Add(1)
	}
}

// DeliverSession queues a session message from another instance, which may be nil, and the newest log format
// that the instance can read. It never blocks: if the queue is full, both are dropped.
func (r *Runner) DeliverSession(from clusterstate.Member, m *schema.SessionMessage, format uint32) {
	r.post(func() {
		if r.instance.ObserveFormat(from.ID, format); m == nil {
			return
		}
		if err := r.instance.StepSession(from.ID, m); err != nil {
			r.rejected.Add(1)
			r.cfg.Logger.WithError(err).WithField("instance", from.Name).Debug("session message rejected")
		}
	})
}

// ReportSnapshot reports whether a snapshot reached its recipient. The transport calls it.
func (r *Runner) ReportSnapshot(to uint64, ok bool) {
	r.post(func() { r.instance.ReportSnapshot(to, ok) })
}

// ReportUnreachable reports that an instance can't be reached. The transport calls it.
func (r *Runner) ReportUnreachable(id uint64) { r.post(func() { r.instance.ReportUnreachable(id) }) }

// ReportRemoved reports that, according to another member, this one was removed. The transport calls it.
func (r *Runner) ReportRemoved() { r.post(r.instance.ReportRemoved) }

// ReportStaged reports that the fronts have staged a change, or the problems that prevent it.
func (r *Runner) ReportStaged(change string, problems []string) {
	r.report(func() { r.instance.ReportStaged(change, problems) })
}

// ReportAdmissionClosed reports that the fronts have stopped admitting jobs for a change.
func (r *Runner) ReportAdmissionClosed(change string, attempt int) {
	r.report(func() { r.instance.ReportAdmissionClosed(change, attempt) })
}

// ReportRunningRevision reports the revision that the fronts run.
func (r *Runner) ReportRunningRevision(revision uint64) {
	r.report(func() { r.instance.ReportRunningRevision(revision) })
}

// NotifyParticipant passes a notification from the rest of the node to the participant of a section.
func (r *Runner) NotifyParticipant(section string, notification any) {
	r.report(func() { r.instance.NotifyParticipant(section, notification) })
}

// report runs f on the runner's goroutine without blocking the caller, which may be a callback on that very
// goroutine. If the runner ends first, f is not called.
func (r *Runner) report(f func()) { go r.runAndWait(context.Background(), f) }
