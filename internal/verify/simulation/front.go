package simulation

import (
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollout"
)

// front stands in for an instance's fronts: it goes by the permit that it got last, a moment later, and
// admits jobs whenever it may.
type front struct {
	permit  rollout.Permit
	queue   []rollout.Permit // that it has not taken yet
	running uint64           // the revision that it runs
}

// notifyFront gives an instance's effects to its front.
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
		m.after(int64(1+s.rng.IntN(3)), m.takePermit)
	}
}

// stage stages a change, or finds that it can't.
func (m *machine) stage(change string) {
	s := m.sim
	var problems []string
	if s.options.FaultSteps > 1 && !s.calm && s.rng.IntN(25) == 0 {
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

// takePermit takes the next permit in order, as an event loop does with what is posted to it.
func (m *machine) takePermit() {
	p := m.front.queue[0]
	m.front.queue = m.front.queue[1:]
	if m.front.permit = p; !p.Open && p.Change != "" {
		m.after(int64(1+m.sim.rng.IntN(5)), func() {
			m.input().ReportAdmissionClosed(p.Change, p.Attempt)
			m.processReady()
		})
	}
}

// scheduleJob has jobs come to the machine's front.
func (m *machine) scheduleJob() {
	m.after(int64(1+m.sim.rng.IntN(25)), func() {
		m.admitJob()
		m.scheduleJob()
	})
}

// admitJob admits a job, if the front may. No job may be admitted under a revision after another has been
// under a later one, anywhere.
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
