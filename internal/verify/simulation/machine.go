package simulation

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/storage/faultfs"
	"moorstack/internal/storage/store"
)

// machine is where an instance runs, or doesn't.
type machine struct {
	w        *world
	name     string
	fs       *faultfs.FS
	inst     *consensus.Instance // nil while it is down
	store    *store.Store
	number   uint64
	spare    bool // it follows without a vote, to take another's
	life     int  // grows at each start: what an earlier life had on its way is dropped
	pace     int64
	dieIn    int // calls of the log until it dies; 0: it doesn't
	told     uint64
	applied  uint64
	answers  map[consensus.RequestID]func(consensus.Response)
	unsynced int

	clock   time.Duration // its own, as of clockAt
	clockAt int64
	stalled int64 // it stands still until then
	front   front
	permits []rollout.Permit // that its fronts have not come to yet
	duties  practice
}

// start begins a life of the machine, from what its disk has.
func (m *machine) start() {
	if m.inst != nil {
		return
	}
	w := m.w
	m.life++
	m.told, m.applied, m.dieIn, m.stalled = 0, 0, 0, 0
	m.front, m.permits, m.duties = front{}, nil, practice{}
	m.answers = map[consensus.RequestID]func(consensus.Response){}
	saved := consensus.NewRecoveredState()
	var err error
	m.store, err = store.Open(
		"/d",
		store.Options{FS: m.fs, SegmentBytes: 20_000},
		saved.RestoreSnapshot,
		saved.ReplayRecord,
	)
	if err != nil {
		if m.fs.FreeBytes >= 0 {
			m.again() // there was no room to begin
			return
		}
		w.violate("%s can't open its store: %v", m.name, err)
		return
	}
	w.numbers++
	m.inst, err = consensus.New(
		consensus.Config{SnapshotCount: 25, SnapshotCatchUpEntries: 5, Seed: w.o.Seed<<16 + uint64(m.life),
			Logger: w.log.WithField("at", m.name)},
		saved,
		w.numbers,
		m.name,
	)
	if err != nil {
		w.violate("%s can't start: %v", m.name, err)
		return
	}
	m.number, _, _ = m.inst.Identity()
	w.trace("%s starts as %x", m.name, m.number)
	m.drive()
	m.beat()
	m.jobs()
	m.practise()
}

func (m *machine) beat() {
	m.later(m.pace, func() {
		m.live().Tick()
		m.drive()
		m.beat()
	})
}

// again starts the machine after a while.
func (m *machine) again() {
	m.w.after(int64(20+m.w.faults.IntN(300)), func() {
		m.fs.FreeBytes = -1
		m.start()
	})
}

// die ends a life: with the power, or of the process alone.
func (m *machine) die(power bool) {
	if m.inst == nil {
		return
	}
	m.w.trace("%s dies (power: %v)", m.name, power)
	m.inst, m.store = nil, nil
	m.life++
	if power {
		m.fs.LosePower()
	} else {
		m.fs.KillProcesses()
	}
	m.fs.FreeBytes = -1
	m.again()
}

// The machine is its instance's log, and may die at each call of it.
func (m *machine) Append(r ...store.Record) (uint64, error) {
	if m.fatal() {
		return 0, errCrash
	}
	return m.store.Append(r...)
}

func (m *machine) Sync() error {
	if m.fatal() {
		return errCrash
	}
	if m.w.o.AcknowledgeBeforeSync {
		// Acknowledged now, synced some time later.
		if m.unsynced++; m.unsynced%20 != 0 {
			return nil
		}
	}
	return m.store.Sync()
}

func (m *machine) WriteSnapshot(b []byte) error {
	if m.fatal() {
		return errCrash
	}
	return m.store.WriteSnapshot(b)
}

func (m *machine) fatal() bool {
	if m.dieIn > 0 {
		m.dieIn--
		return m.dieIn == 0
	}
	return false
}

// drive has the instance do what it must after an input, and checks it.
func (m *machine) drive() {
	if m.inst == nil {
		return
	}
	life := m.life
	err := consensus.ProcessReady(m.inst, m, m.local, func(e consensus.Effects) {
		if m.life == life {
			m.carry(e)
		}
	})
	if m.life != life {
		return
	}
	if err != nil {
		m.w.trace("%s: %v", m.name, err)
		m.die(errors.Is(err, errCrash))
		return
	}
	m.check()
}

func (m *machine) carry(e consensus.Effects) {
	for _, r := range e.Revisions {
		if r.Number <= m.told {
			m.w.violate("%s tells revision %d after %d", m.name, r.Number, m.told)
		}
		m.told = r.Number
		m.w.agreed(m.name, r.Number, r.ChangeID)
	}
	m.toldFronts(e)
	for _, x := range e.SessionMessages {
		m.w.say(m, x)
	}
	for _, msg := range e.Messages {
		if m.fatal() { // with some of the messages gone out
			m.w.after(1, func(life int) func() {
				return func() {
					if m.life == life {
						m.die(true)
					}
				}
			}(m.life))
			return
		}
		m.w.send(m, msg)
	}
	for _, a := range e.Responses {
		if f := m.answers[a.RequestID]; f != nil {
			delete(m.answers, a.RequestID)
			f(a)
		}
	}
}

// check looks at the instance after each of its steps.
func (m *machine) check() {
	s := m.inst.Status()
	w := m.w
	if s.Halted != nil {
		w.violate("%s halts: %v", m.name, s.Halted)
		return
	}
	if s.Role == "leader" {
		if was := w.leaders[s.Term]; was != "" && was != fmt.Sprintf("%x", m.number) {
			w.violate("term %d has the leaders %s and %x", s.Term, was, m.number)
		}
		if w.leaders[s.Term] == "" {
			w.trace("%s leads in term %d", m.name, s.Term)
		}
		w.leaders[s.Term] = fmt.Sprintf("%x", m.number)
	}
	if s.Applied < m.applied {
		w.violate("%s applied entry %d and then %d", m.name, m.applied, s.Applied)
	}
	if s.Applied != m.applied && m.inst.State() != nil {
		m.applied = s.Applied
		sum := sha256.Sum256(m.inst.State().Encode())
		if was, ok := w.states[s.Applied]; ok && was != sum {
			w.violate("%s has another state than others after entry %d", m.name, s.Applied)
		}
		w.states[s.Applied] = sum
	}
}
