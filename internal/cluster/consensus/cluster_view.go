package consensus

import (
	"slices"
	"time"

	"moorstack/internal/cluster/lease"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// ClusterView is what an instance knows of the group where something is owned by placement.
type ClusterView struct {
	// Views are the placement views that came into force since the last ClusterView, in order. An owner must
	// see each: in one that it does not belong to, another owner may have acted.
	Views             []placement.View
	SnapshotInstalled bool              // before them there were views that this instance skipped
	Session           placement.Session // of this instance; the zero Session: none
	ExpiresAt         time.Duration     // when its right to act on what it owns ends, on its clock
	LeaseDuration     time.Duration     // of any instance's lease
}

// ownership follows the placement views, and how long this instance may act on what it owns.
type ownership struct {
	replica      *replica
	participants *participants

	lease   lease.Tracker
	views   []placement.View // to be emitted
	latest  placement.View
	skipped bool // views may have been skipped since the last ClusterView
	emitted ClusterView
}

// observeView takes the placement view after an entry of the log.
//
// Hazard: one Advance may apply two entries, and another instance may have acted by the view between them.
// So each view is kept, and emitted.
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

// observeGrant takes a lease of a leader that had applied the log up to an index.
func (o *ownership) observeGrant(g rollout.Grant, index uint64) {
	o.lease.ObserveGrant(g.Epoch, g.RequestedAt, g.Duration, index, o.replica.applied)
}

// snapshotInstalled begins again with the view of a snapshot.
func (o *ownership) snapshotInstalled() {
	o.views, o.latest, o.skipped = nil, placement.View{}, true
	o.participants.snapshotInstalled()
	o.replica.state.UpdateOwners()
	o.observeView()
}

// emit puts a ClusterView into the effects, when it has changed.
func (o *ownership) emit(session placement.Session) {
	o.lease.ObserveApplied(o.replica.applied)
	lease := o.replica.policy().Lease
	now := ClusterView{Views: o.views, SnapshotInstalled: o.skipped, Session: session, LeaseDuration: lease,
		ExpiresAt: o.lease.ExpiresAt(session.Epoch, lease)}
	if len(now.Views) == 0 && now.Session == o.emitted.Session && now.ExpiresAt == o.emitted.ExpiresAt &&
		now.LeaseDuration == o.emitted.LeaseDuration {
		return
	}
	o.views, o.skipped, o.emitted = nil, false, now
	o.replica.out.ClusterView = &now
}
