package consensus

import (
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// formatTracker records the newest log format that each member can read, according to the member's reports,
// and proposes the upgrade to the latest format once all members can read it.
type formatTracker struct {
	replica    *replica
	formats    map[uint64]uint32 // by member
	proposedAt uint64            // tick of the last proposal of the upgrade
}

// ObserveFormat records the newest log format that a member reports it can read.
func (i *Instance) ObserveFormat(member uint64, format uint32) {
	if f := i.sessions.formats; len(f.formats) < maxTrackedMembers {
		f.formats[member] = format
	}
}

// outdated returns the names of the members that reported an older format, and of those that have not
// reported to this instance. On a follower the latter are common, as followers seldom send each other
// messages.
func (f *formatTracker) outdated() (old, unreported []string) {
	for _, m := range f.replica.state.Members() {
		format, known := f.formats[m.ID]
		switch {
		case m.ID == f.replica.identity.Id || format >= clusterstate.LatestFormat:
		case known:
			old = append(old, m.Name)
		default:
			unreported = append(unreported, m.Name)
		}
	}
	return old, unreported
}

// proposeUpgrade proposes the latest log format once every member is known to read it. Only the leader calls
// it.
func (f *formatTracker) proposeUpgrade() {
	r := f.replica
	if r.state.Format() >= clusterstate.LatestFormat ||
		r.ticks-f.proposedAt < uint64(r.cfg.ElectionTicks) {
		return
	}
	if old, unreported := f.outdated(); len(old)+len(unreported) > 0 {
		return
	}
	f.proposedAt = r.ticks
	r.propose(encodeEntry(&schema.Change{Format: clusterstate.LatestFormat, Enter: true}))
}
