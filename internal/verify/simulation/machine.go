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

// machine is where an instance runs, or doesn't.
type machine struct {
	sim      *simulator
	name     string
	disk     *faultfs.FS
	instance *consensus.Instance // nil while it is down
	store    *store.Store
	number   uint64
	spare    bool // it follows as a learner, to replace a voter
	// incarnation grows at each start and end: what an earlier one had scheduled is dropped.
	incarnation    int
	unitsPerTick   int64 // its clock's rate
	callsToFailure int   // calls of the log until it loses power; 0: it doesn't
	lastRevision   uint64
	lastApplied    uint64
	onResponse     map[consensus.RequestID]func(consensus.Response)
	unsyncedCalls  int // with Options.AcknowledgeBeforeSync

	clock        time.Duration // its own, as of clockReadAt
	clockReadAt  int64
	stalledUntil int64
	front        front
	tasks        taskHolder
}

const (
	snapshotCount          = 25
	snapshotCatchUpEntries = 5
	segmentBytes           = 20_000
	brokenSyncEvery        = 20 // calls, with Options.AcknowledgeBeforeSync
)

// start begins an incarnation of the machine, from what its disk has.
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
		s.violatef("%s can't open its store: %v", m.name, err)
		return
	}
	s.lastDrawn++
	m.instance, err = consensus.New(
		consensus.Config{SnapshotCount: snapshotCount, SnapshotCatchUpEntries: snapshotCatchUpEntries,
			Seed: s.options.Seed<<16 + uint64(m.incarnation), Logger: s.log.WithField("at", m.name)},
		recovered, s.lastDrawn, m.name)
	if err != nil {
		s.violatef("%s can't start: %v", m.name, err)
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

// restartLater starts the machine after a while, with room on its disk.
func (m *machine) restartLater() {
	m.sim.after(int64(20+m.sim.faultRNG.IntN(300)), func() {
		m.disk.FreeBytes = -1
		m.start()
	})
}

// stop ends an incarnation: by a loss of power, or of the process alone.
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

// wipe ends an incarnation and loses its disk.
func (m *machine) wipe() {
	m.stop(false)
	m.disk.EraseDisk()
}

// stall has the machine stand still, with all that comes to it waiting.
func (m *machine) stall(units int64) { m.stalledUntil = m.sim.now + units }

// localTime is the machine's own clock, which goes on while it stands still, at its own rate.
func (m *machine) localTime() time.Duration {
	s := m.sim
	m.clock += time.Duration(s.now-m.clockReadAt) * unit * unitsPerTick / time.Duration(m.unitsPerTick)
	m.clockReadAt = s.now
	return m.clock
}

// input is the instance with its clock set, for an input.
func (m *machine) input() *consensus.Instance {
	m.instance.SetClock(m.localTime())
	return m.instance
}

// after schedules f in this incarnation of the machine: after a stall, where it stands still.
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
		// Acknowledged now, synced some time later.
		if m.unsyncedCalls++; m.unsyncedCalls%brokenSyncEvery != 0 {
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

// processReady has the instance do what is due after an input, and checks it.
func (m *machine) processReady() {
	if m.instance == nil {
		return
	}
	incarnation := m.incarnation
	err := consensus.ProcessReady(m.instance, m, m.localTime, func(e consensus.Effects) {
		if m.incarnation == incarnation {
			m.carryOut(e)
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

func (m *machine) carryOut(e consensus.Effects) {
	for _, r := range e.Revisions {
		if r.Number <= m.lastRevision {
			m.sim.violatef("%s gives revision %d after %d", m.name, r.Number, m.lastRevision)
		}
		m.lastRevision = r.Number
		m.sim.observeRevision(m.name, r.Number, r.ChangeID)
	}
	m.notifyFront(e)
	for _, msg := range e.SessionMessages {
		m.sim.sendSession(m, msg)
	}
	for _, msg := range e.Messages {
		if m.losesPower() { // after some of the messages were sent
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

// check checks the invariants of the instance after each of its steps.
func (m *machine) check() {
	st := m.instance.Status()
	s := m.sim
	if st.Halted != nil {
		s.violatef("%s halts: %v", m.name, st.Halted)
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

// hexNumber is an instance's number as traces show it.
func (m *machine) hexNumber() string { return fmt.Sprintf("%x", m.number) }
