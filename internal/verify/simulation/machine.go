package simulation

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/storage/faultfs"
	"moorstack/internal/storage/store"
)

// machine is a simulated computer, with a disk and a clock, on which an instance runs or is down.
type machine struct {
	sim      *simulator
	name     string
	disk     *faultfs.FS
	instance *consensus.Instance // nil while it is down
	store    *store.Store
	number   uint64
	spare    bool // the instance is a learner that may replace a voter
	// incarnation grows at each start and stop. Events that an earlier incarnation scheduled are dropped.
	incarnation    int
	unitsPerTick   int64 // the rate of its clock
	callsToFailure int   // calls of the log until it loses power; 0: it does not
	lastRevision   uint64
	lastApplied    uint64
	onResponse     map[consensus.RequestID]func(consensus.Response)
	unsyncedCalls  int // with Options.AcknowledgeBeforeSync

	clock        time.Duration // its own clock, at the virtual time clockReadAt
	clockReadAt  int64
	stalledUntil int64
	front        front
	tasks        taskHolder
}

const (
	snapshotCount          = 25
	snapshotCatchUpEntries = 5
	segmentBytes           = 20_000
	callsPerBrokenSync     = 20 // calls, with Options.AcknowledgeBeforeSync
)

// start starts a new incarnation of the machine with the data on its disk.
func (m *machine) start() {
	if m.instance != nil {
		return
	}
	s := m.sim
	m.incarnation++
	m.lastRevision, m.lastApplied, m.callsToFailure, m.stalledUntil = 0, 0, 0, 0
	m.front, m.tasks = front{}, newTaskHolder()
	m.onResponse = map[consensus.RequestID]func(consensus.Response){}
	recovered := consensus.NewRecoveredState()
	var err error
	m.store, err = store.Open("/d", store.Options{FS: m.disk, SegmentBytes: segmentBytes},
		recovered.RestoreSnapshot, recovered.ReplayRecord)
	if err != nil {
		if m.disk.FreeBytes >= 0 {
			m.restartLater() // the disk was full
			return
		}
		s.violatef("%s failed to open its store: %v", m.name, err)
		return
	}
	s.lastInstanceNumber++
	m.instance, err = consensus.New(
		consensus.Config{SnapshotCount: snapshotCount, SnapshotCatchUpEntries: snapshotCatchUpEntries,
			Seed: s.options.Seed<<16 + uint64(m.incarnation), Logger: s.log.WithField("at", m.name)},
		recovered, s.lastInstanceNumber, m.name)
	if err != nil {
		s.violatef("%s failed to start: %v", m.name, err)
		return
	}
	m.number, _, _ = m.instance.Identity()
	s.tracef("%s starts as %x", m.name, m.number)
	m.processReady()
	m.scheduleTick()
	m.scheduleJob()
	m.scheduleTaskActions()
}

func (m *machine) scheduleTick() {
	m.after(m.unitsPerTick, func() {
		m.input().Tick()
		m.processReady()
		m.scheduleTick()
	})
}

// restartLater starts the machine after a random delay, with free space on its disk.
func (m *machine) restartLater() {
	m.sim.after(int64(20+m.sim.faultRNG.IntN(300)), func() {
		m.disk.FreeBytes = -1
		m.start()
	})
}

// stop ends an incarnation, by a power loss or by the death of the process alone.
func (m *machine) stop(power bool) {
	if m.instance == nil {
		return
	}
	m.sim.tracef("%s stops (power: %v)", m.name, power)
	m.instance, m.store = nil, nil
	m.incarnation++
	if power {
		m.disk.LosePower()
	} else {
		m.disk.KillProcesses()
	}
	m.disk.FreeBytes = -1
	m.restartLater()
}

// wipe ends an incarnation and erases its disk.
func (m *machine) wipe() {
	m.stop(false)
	m.disk.EraseDisk()
}

// stall pauses the machine. Messages and events for it wait until the stall ends.
func (m *machine) stall(units int64) { m.stalledUntil = m.sim.now + units }

// localTime returns the time of the machine's own clock, which has its own rate and keeps running during a
// stall.
func (m *machine) localTime() time.Duration {
	s := m.sim
	m.clock += time.Duration(s.now-m.clockReadAt) * unit * unitsPerTick / time.Duration(m.unitsPerTick)
	m.clockReadAt = s.now
	return m.clock
}

// input returns the instance with its clock set, ready for an input.
func (m *machine) input() *consensus.Instance {
	m.instance.SetClock(m.localTime())
	return m.instance
}

// after schedules f in this incarnation of the machine. During a stall, f waits until its end.
func (m *machine) after(units int64, f func()) {
	incarnation := m.incarnation
	m.sim.after(units, func() {
		switch {
		case m.incarnation != incarnation || m.instance == nil:
		case m.sim.now < m.stalledUntil:
			m.after(m.stalledUntil-m.sim.now+int64(m.sim.rng.IntN(3)), f)
		default:
			f()
		}
	})
}

// Append implements consensus.LogStore. The machine may lose power at each call of its log.
func (m *machine) Append(r ...store.Record) (uint64, error) {
	if m.losesPower() {
		return 0, errPowerLoss
	}
	return m.store.Append(r...)
}

// Sync implements consensus.LogStore.
func (m *machine) Sync() error {
	if m.losesPower() {
		return errPowerLoss
	}
	if m.sim.options.AcknowledgeBeforeSync {
		// Report success now, and sync only in a later call.
		if m.unsyncedCalls++; m.unsyncedCalls%callsPerBrokenSync != 0 {
			return nil
		}
	}
	return m.store.Sync()
}

// WriteSnapshot implements consensus.LogStore.
func (m *machine) WriteSnapshot(b []byte) error {
	if m.losesPower() {
		return errPowerLoss
	}
	return m.store.WriteSnapshot(b)
}

func (m *machine) losesPower() bool {
	if m.callsToFailure > 0 {
		m.callsToFailure--
		return m.callsToFailure == 0
	}
	return false
}

// processReady makes the instance process the output that is ready after an input, and checks its
// invariants.
func (m *machine) processReady() {
	if m.instance == nil {
		return
	}
	incarnation := m.incarnation
	err := consensus.ProcessReady(m.instance, m, m.localTime, func(e consensus.Effects) {
		if m.incarnation == incarnation {
			m.applyEffects(e)
		}
	})
	if m.incarnation != incarnation {
		return
	}
	if err != nil {
		m.sim.tracef("%s: %v", m.name, err)
		m.stop(errors.Is(err, errPowerLoss))
		return
	}
	m.check()
}

func (m *machine) applyEffects(e consensus.Effects) {
	for _, r := range e.Revisions {
		if r.Number <= m.lastRevision {
			m.sim.violatef("%s applied revision %d after %d", m.name, r.Number, m.lastRevision)
		}
		m.lastRevision = r.Number
		m.sim.observeRevision(m.name, r.Number, r.ChangeID)
	}
	m.notifyFront(e)
	for _, msg := range e.SessionMessages {
		m.sim.sendSession(m, msg)
	}
	for _, msg := range e.Messages {
		if m.losesPower() { // some of the messages have been sent by now
			incarnation := m.incarnation
			m.sim.after(1, func() {
				if m.incarnation == incarnation {
					m.stop(true)
				}
			})
			return
		}
		m.sim.send(m, msg)
	}
	for _, response := range e.Responses {
		if f := m.onResponse[response.RequestID]; f != nil {
			delete(m.onResponse, response.RequestID)
			f(response)
		}
	}
}

// check checks the invariants of the instance. It is called after each of its steps.
func (m *machine) check() {
	st := m.instance.Status()
	s := m.sim
	if st.Halted != nil {
		s.violatef("%s halted: %v", m.name, st.Halted)
		return
	}
	if st.Role == consensus.RoleLeader {
		s.observeLeader(m, st.Term)
	}
	if st.Applied < m.lastApplied {
		s.violatef("%s applied entry %d and then %d", m.name, m.lastApplied, st.Applied)
	}
	if st.Applied != m.lastApplied && m.instance.State() != nil {
		m.lastApplied = st.Applied
		s.observeState(m, st.Applied, sha256.Sum256(m.instance.State().Encode()))
	}
}

// hexNumber returns the instance's number as traces show it.
func (m *machine) hexNumber() string { return fmt.Sprintf("%x", m.number) }
