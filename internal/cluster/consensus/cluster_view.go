package consensus

import (
	"slices"
	"time"

	"moorstack/internal/cluster/lease"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// ClusterView holds what the owners of placed resources need to know of the group: the placement views, and
// until when this instance may act on what it owns.
type ClusterView struct {
	// Views are the placement views that came into force since the last ClusterView, in order. An owner must
	// see every view: during a view that excludes it, another owner may have acted.
	Views             []placement.View
	SnapshotInstalled bool              // a snapshot replaced the log, so earlier views may be missing
	Session           placement.Session // of this instance; the zero Session if it has none
	ExpiresAt         time.Duration     // when this instance's ownership expires, on its own clock
	LeaseDuration     time.Duration     // of every member's lease
}

// ownership tracks the placement views and the time until which this instance may act on what it owns.
type ownership struct {
	replica      *replica
	participants *participants

	lease   lease.Tracker
	views   []placement.View // not emitted yet
	latest  placement.View
	skipped bool        // views may have been skipped since the last ClusterView
	emitted ClusterView // the last one
}

// observeView records the placement view that results from a log entry. One Advance may apply several
// entries, and another instance may have acted under the view between two of them, so every view is kept and
// emitted.
func (o *ownership) observeView() {
	v := o.replica.state.PlacementView()
	expired := o.replica.state.PopExpiredSessions()
	if v.Number == o.latest.Number {
		return
	}
	for _, m := range o.latest.Members {
		if slices.Contains(expired, m.Session) {
			v.Expired = append(v.Expired, m.Session)
		}
	}
	o.latest = v
	o.views = append(o.views, v)
}

// observeGrant records a lease granted by a leader that had applied the log up to index.
func (o *ownership) observeGrant(g rollout.Grant, index uint64) {
	o.lease.ObserveGrant(g.Epoch, g.RequestedAt, g.Duration, index, o.replica.applied)
}

// snapshotInstalled discards the views seen so far and starts with the view in the snapshot.
func (o *ownership) snapshotInstalled() {
	o.views, o.latest, o.skipped = nil, placement.View{}, true
	o.participants.snapshotInstalled()
	o.replica.state.UpdateOwners()
	o.observeView()
}

// emit adds a ClusterView to the effects if it has changed.
func (o *ownership) emit(session placement.Session) {
	o.lease.ObserveApplied(o.replica.applied)
	lease := o.replica.policy().Lease
	view := ClusterView{Views: o.views, SnapshotInstalled: o.skipped, Session: session, LeaseDuration: lease,
		ExpiresAt: o.lease.ExpiresAt(session.Epoch, lease)}
	if len(view.Views) == 0 && view.Session == o.emitted.Session && view.ExpiresAt == o.emitted.ExpiresAt &&
		view.LeaseDuration == o.emitted.LeaseDuration {
		return
	}
	o.views, o.skipped, o.emitted = nil, false, view
	o.replica.out.ClusterView = &view
}
