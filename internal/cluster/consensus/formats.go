package consensus

import (
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// formatTracker knows the newest format of the log that each member reads, as it reports itself, and has the
// group upgrade once all read it.
type formatTracker struct {
	replica    *replica
	formats    map[uint64]uint32 // by member
	proposedAt uint64            // tick at which the upgrade was proposed last
}

// ObserveFormat takes which format of the log a member reads, as it reports itself.
func (i *Instance) ObserveFormat(member uint64, format uint32) {
	if f := i.sessions.formats; len(f.formats) < maxTrackedMembers {
		f.formats[member] = format
	}
}

// outdated names the members that have reported that they read an older format, and those that have reported
// nothing to this instance: followers seldom send each other messages.
func (f *formatTracker) outdated() (old, silent []string) {
	for _, m := range f.replica.state.Members() {
		format, known := f.formats[m.ID]
		switch {
		case m.ID == f.replica.identity.Id || format >= clusterstate.LatestFormat:
		case known:
			old = append(old, m.Name)
		default:
			silent = append(silent, m.Name)
		}
	}
	return old, silent
}

// proposeUpgrade proposes the newest format of the log, once every member is known to read it. The leader
// calls it.
func (f *formatTracker) proposeUpgrade() {
	r := f.replica
	if r.state.Format() >= clusterstate.LatestFormat ||
		r.ticks-f.proposedAt < uint64(r.cfg.ElectionTicks) {
		return
	}
	if old, silent := f.outdated(); len(old)+len(silent) > 0 {
		return
	}
	f.proposedAt = r.ticks
	r.propose(encodeEntry(&schema.Change{Format: clusterstate.LatestFormat, Enter: true}))
}
