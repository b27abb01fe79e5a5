package simulation

import (
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollout"
)

// front simulates the fronts of an instance. It applies each permit after a short delay, and admits jobs
// whenever its current permit allows it.
type front struct {
	permit  rollout.Permit
	queue   []rollout.Permit // permits that are not applied yet
	running uint64           // the revision that the front runs
}

// notifyFront passes an instance's effects to its front, with random delays.
func (m *machine) notifyFront(e consensus.Effects) {
	s := m.sim
	if r := e.Stage; r != nil {
		m.after(int64(1+s.rng.IntN(60)), func() { m.stage(r.ChangeID) })
	}
	for _, r := range e.Revisions {
		m.after(int64(1+s.rng.IntN(6)), func() { m.runRevision(r) })
	}
	for _, n := range e.Notifications {
		if leases, ok := n.([]leasedtask.Lease); ok {
			m.after(int64(1+s.rng.IntN(6)), func() { m.setLeases(leases) })
		}
	}
	if e.Permit != nil {
		m.front.queue = append(m.front.queue, *e.Permit)
		m.after(int64(1+s.rng.IntN(3)), m.applyPermit)
	}
}

// stage reports that a change is staged or, at random, that it can't be.
func (m *machine) stage(change string) {
	s := m.sim
	var problems []string
	if s.options.FaultSteps > 1 && !s.faultsEnded && s.rng.IntN(25) == 0 {
		problems = []string{"its own files disagree here"}
	}
	m.input().ReportStaged(change, problems)
	m.processReady()
}

func (m *machine) runRevision(r clusterstate.Revision) {
	if r.Number > m.front.running {
		m.front.running = r.Number
		m.input().ReportRunningRevision(r.Number)
	}
}

// applyPermit applies the next permit. Permits are applied in order, as by an event loop.
func (m *machine) applyPermit() {
	p := m.front.queue[0]
	m.front.queue = m.front.queue[1:]
	if m.front.permit = p; !p.Open && p.Change != "" {
		m.after(int64(1+m.sim.rng.IntN(5)), func() {
			m.input().ReportAdmissionClosed(p.Change, p.Attempt)
			m.processReady()
		})
	}
}

// scheduleJob makes jobs arrive at the machine's front at random intervals.
func (m *machine) scheduleJob() {
	m.after(int64(1+m.sim.rng.IntN(25)), func() {
		m.admitJob()
		m.scheduleJob()
	})
}

// admitJob admits a job if the permit allows it. It checks that no job is admitted under a revision after any
// machine has admitted one under a later revision.
func (m *machine) admitJob() {
	s := m.sim
	if !m.front.permit.Admits(m.localTime(), m.front.running) {
		s.result.JobsRejected++
		return
	}
	s.result.JobsAdmitted++
	newest := &s.observed.newestAdmission
	if m.front.running < newest.revision {
		s.violatef("%s admits under revision %d after %s has under %d", m.name, m.front.running,
			newest.machine, newest.revision)
	}
	if m.front.running > newest.revision {
		*newest = admission{m.front.running, m.name}
		s.tracef("%s is the first to admit under revision %d", m.name, newest.revision)
	}
}
