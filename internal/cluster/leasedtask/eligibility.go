package leasedtask

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// Member is a group member as the leader sees it.
type Member struct {
	Session   Session // Epoch 0: no session is open
	Name      string
	Healthy   bool // it has reported within the duration of a lease
	Departing bool // it is draining or shutting down, and transfers the tasks that it holds
	Labels    []string
	Suspected bool // by the failure detector (package membership)
}

// Spec is the configuration of a task.
type Spec struct {
	Name             string
	RequiredLabel    string   // label that the holder must have; empty: none
	PreferredHolders []string // instance names, most preferred first
}

// CheckEligible returns the reason why a member may not hold a task, or nil if it may.
func CheckEligible(m Member, spec Spec) error {
	switch {
	case m.Session.Epoch == 0:
		return fmt.Errorf("%s has no open session", m.Name)
	case !m.Healthy:
		return fmt.Errorf("%s has not reported within the duration of a lease", m.Name)
	case m.Departing:
		return fmt.Errorf("%s is draining or shutting down", m.Name)
	case spec.RequiredLabel != "" && !slices.Contains(m.Labels, spec.RequiredLabel):
		return fmt.Errorf("%s lacks the label %q", m.Name, spec.RequiredLabel)
	}
	return nil
}

// hasOtherCandidate reports whether a member other than the holder is eligible for the task.
func hasOtherCandidate(t *Task, spec Spec, members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		return m.Session.Member != t.Holder.Member && CheckEligible(m, spec) == nil
	})
}

// heldCounts returns how many tasks each member holds.
func heldCounts(s *State) map[uint64]int {
	held := map[uint64]int{}
	for _, t := range s.Tasks {
		if t.IsHeld() {
			held[t.Holder.Member]++
		}
	}
	return held
}

// chooseHolder chooses a holder for a task that no session holds. It prefers, in this order, the member that
// a transfer named; members that are not suspected; members that have not failed at the task; members that
// the configuration prefers; members that hold fewer tasks. Ties are broken by a hash of the names of task
// and member, so that different tasks go to different members.
func chooseHolder(t *Task, spec Spec, members []Member, held map[uint64]int) (best Member, found bool) {
	for _, m := range members {
		if CheckEligible(m, spec) != nil {
			continue
		}
		if !found || compareCandidates(m, best, t, spec, held) < 0 {
			best, found = m, true
		}
	}
	return best, found
}

// compareCandidates returns a negative number if a is a better holder than b.
func compareCandidates(a, b Member, t *Task, spec Spec, held map[uint64]int) int {
	trueFirst := func(yes bool) int {
		if yes {
			return 0
		}
		return 1
	}
	preference := func(m Member) int {
		if k := slices.Index(spec.PreferredHolders, m.Name); k >= 0 {
			return k
		}
		return len(spec.PreferredHolders)
	}
	return cmp.Or(
		cmp.Compare(trueFirst(a.Session.Member == t.TransferTo), trueFirst(b.Session.Member == t.TransferTo)),
		cmp.Compare(trueFirst(!a.Suspected), trueFirst(!b.Suspected)),
		// Members that have failed at the task come last, the one that failed longest ago first among them.
		cmp.Compare(t.CoolingDown[a.Session.Member], t.CoolingDown[b.Session.Member]),
		cmp.Compare(preference(a), preference(b)),
		cmp.Compare(held[a.Session.Member], held[b.Session.Member]),
		cmp.Compare(tieBreak(t.Name, a.Name), tieBreak(t.Name, b.Name)),
	)
}

// tieBreak returns a hash that orders the candidates differently for each task.
func tieBreak(task, member string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, task, "/", member)
	return h.Sum64()
}
