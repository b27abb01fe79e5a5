package consensus

import (
	"context"

	pb "go.etcd.io/raft/v3/raftpb"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// Deliver takes a Raft message of another instance. It never blocks: where the inbox is full, the message is
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

// DeliverSession takes another instance's session message, which may be nil, and the format of the log that
// it reads. Like Deliver it never blocks.
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

// ReportSnapshot reports whether a snapshot reached the instance that it was sent to. The transport calls it.
func (r *Runner) ReportSnapshot(to uint64, ok bool) {
	r.post(func() { r.instance.ReportSnapshot(to, ok) })
}

// ReportUnreachable reports that messages to an instance do not get through. The transport calls it.
func (r *Runner) ReportUnreachable(id uint64) { r.post(func() { r.instance.ReportUnreachable(id) }) }

// ReportRemoved reports that another member knows this one to be removed. The transport calls it.
func (r *Runner) ReportRemoved() { r.post(r.instance.ReportRemoved) }

// ReportStaged reports that the fronts have staged a change, or why they can't.
func (r *Runner) ReportStaged(change string, problems []string) {
	r.report(func() { r.instance.ReportStaged(change, problems) })
}

// ReportAdmissionClosed reports that the fronts have ceased to admit jobs for a change.
func (r *Runner) ReportAdmissionClosed(change string, attempt int) {
	r.report(func() { r.instance.ReportAdmissionClosed(change, attempt) })
}

// ReportRunningRevision reports which revision the fronts run.
func (r *Runner) ReportRunningRevision(revision uint64) {
	r.report(func() { r.instance.ReportRunningRevision(revision) })
}

// NotifyParticipant gives the participant of a section a notification of the rest of the node.
func (r *Runner) NotifyParticipant(section string, notification any) {
	r.report(func() { r.instance.NotifyParticipant(section, notification) })
}

// report runs f on the runner's goroutine, without blocking the caller: a callback of that goroutine may be
// the caller. It ends with the runner.
func (r *Runner) report(f func()) { go r.runAndWait(context.Background(), f) }
