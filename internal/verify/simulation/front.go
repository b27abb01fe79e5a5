package simulation

import (
	"time"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollout"
)

// unit is the world's least time, as instances' clocks tell it.
const unit = 10 * time.Millisecond

// front stands for an instance's fronts: it goes by what it was told last, a moment later, and
// admits jobs whenever it may.
type front struct {
	permit  rollout.Permit
	running uint64
}

// local is the machine's own clock, which goes on while it stands still, at its own pace.
func (m *machine) local() time.Duration {
	w := m.w
	m.clock += time.Duration(w.now-m.clockAt) * unit * tick / time.Duration(m.pace)
	m.clockAt = w.now
	return m.clock
}

// live is the instance, told the time.
func (m *machine) live() *consensus.Instance {
	m.inst.SetClock(m.local())
	return m.inst
}

// later does something in this life of the machine: after a stall, where it stands still.
func (m *machine) later(d int64, f func()) {
	life := m.life
	m.w.after(d, func() {
		switch {
		case m.life != life || m.inst == nil:
		case m.w.now < m.stalled:
			m.later(m.stalled-m.w.now+int64(m.w.rng.IntN(3)), f)
		default:
			f()
		}
	})
}

// told takes an instance's word to its fronts.
func (m *machine) toldFronts(e consensus.Effects) {
	w := m.w
	if r := e.Stage; r != nil {
		m.later(int64(1+w.rng.IntN(60)), func() {
			var refused []string
			if w.o.FaultSteps > 1 && !w.calm && w.rng.IntN(25) == 0 {
				refused = []string{"its own files say otherwise"}
			}
			m.live().ReportStaged(r.ChangeID, refused)
			m.drive()
		})
	}
	for _, r := range e.Revisions {
		m.later(int64(1+w.rng.IntN(6)), func() { m.run(r) })
	}
	for _, word := range e.Notifications {
		held, ok := word.([]leasedtask.Lease)
		if !ok {
			continue
		}
		m.later(int64(1+w.rng.IntN(6)), func() { m.holds(held) })
	}
	if e.Permit != nil {
		p := *e.Permit
		m.permits = append(m.permits, p)
		m.later(int64(1+w.rng.IntN(3)), func() { m.obey() })
	}
}

func (m *machine) run(r clusterstate.Revision) {
	if r.Number > m.front.running {
		m.front.running = r.Number
		m.live().ReportRunningRevision(r.Number)
	}
}

// obey takes the next word in order, as a loop does with what is posted to it.
func (m *machine) obey() {
	p := m.permits[0]
	m.permits = m.permits[1:]
	if m.front.permit = p; !p.Open && p.Change != "" {
		m.later(int64(1+m.w.rng.IntN(5)), func() {
			m.live().ReportAdmissionClosed(p.Change, p.Attempt)
			m.drive()
		})
	}
}

// jobs come to the machine's fronts.
func (m *machine) jobs() {
	m.later(int64(1+m.w.rng.IntN(25)), func() {
		m.admit()
		m.jobs()
	})
}

// admit takes a job, if it may. No job may be admitted under a policy after another has been
// under a later one, anywhere.
func (m *machine) admit() {
	w := m.w
	if !m.front.permit.Admits(m.local(), m.front.running) {
		w.res.JobsRejected++
		return
	}
	w.res.JobsAdmitted++
	if m.front.running < w.newest {
		w.violate("%s admits under revision %d after %s has under %d", m.name, m.front.running, w.newestAt,
			w.newest)
	}
	if m.front.running > w.newest {
		w.newest, w.newestAt = m.front.running, m.name
		w.trace("%s is the first to admit under revision %d", m.name, w.newest)
	}
}

// stall has the machine stand still, with all that comes to it waiting.
func (m *machine) stall(d int64) {
	m.stalled = m.w.now + d
}
