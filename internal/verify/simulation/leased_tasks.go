package simulation

import (
	"fmt"
	"strconv"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
)

// taskHolder is the state of a machine's work in its leased tasks. The machine acts in a task while the lease
// allows it, updates the task's note, and releases the lease on request.
type taskHolder struct {
	leases    []leasedtask.Lease
	releasing map[uint64]bool // by fencing token
}

func newTaskHolder() taskHolder { return taskHolder{releasing: map[uint64]bool{}} }

// action is the newest action in a task that a receiver has seen.
type action struct {
	token   uint64
	machine string
}

// setLeases replaces the leases that the machine acts by. Unlike in an event loop, notifications may arrive
// out of order here. This is harmless: a missing lease only delays actions, and an old fencing token is not
// valid any more.
func (m *machine) setLeases(leases []leasedtask.Lease) {
	m.tasks.leases = leases
	for _, l := range leases {
		if l.ReleaseReason == "" || m.tasks.releasing[l.FencingToken] {
			continue
		}
		m.after(int64(1+m.sim.rng.IntN(40)), func() { m.release(l) })
	}
}

// release releases a lease. From then on the machine does not act under it.
func (m *machine) release(l leasedtask.Lease) {
	m.tasks.releasing[l.FencingToken] = true
	m.proposeCommand(leasedtask.Command{Kind: leasedtask.Release, Task: l.Task, FencingToken: l.FencingToken,
		Reason: l.ReleaseReason, Failed: m.sim.rng.IntN(8) == 0}, func(consensus.Response) {
		m.after(int64(50+m.sim.rng.IntN(100)), func() { m.releaseAgain(l) })
	})
}

// releaseAgain releases a lease once more if the machine still holds it.
func (m *machine) releaseAgain(l leasedtask.Lease) {
	for _, current := range m.tasks.leases {
		if current.FencingToken == l.FencingToken {
			m.release(current)
			return
		}
	}
}

func (m *machine) proposeCommand(c leasedtask.Command, then func(consensus.Response)) {
	c.ID = fmt.Sprintf("task-%d", m.sim.newID())
	id := m.input().ProposeCommand(leasedtask.Section, leasedtask.EncodeCommand(c), c.ID)
	m.onResponse[id] = then
	m.processReady()
}

// scheduleTaskActions makes the machine act in its tasks at random intervals, and rarely has an operator
// command a task.
func (m *machine) scheduleTaskActions() {
	m.after(int64(1+m.sim.rng.IntN(20)), func() {
		for _, l := range m.tasks.leases {
			m.act(l)
		}
		if s := m.sim; !s.faultsEnded && s.rng.IntN(300) == 0 {
			m.proposeOperatorCommand()
		}
		if m.instance != nil {
			m.scheduleTaskActions()
		}
	})
}

// proposeOperatorCommand proposes a random operator's command on a random task.
func (m *machine) proposeOperatorCommand() {
	s := m.sim
	kinds := []leasedtask.Kind{leasedtask.Transfer, leasedtask.Transfer, leasedtask.Pause, leasedtask.Resume,
		leasedtask.Resume}
	kind := kinds[s.rng.IntN(len(kinds))]
	task := fmt.Sprintf(leasedtask.DrillTaskFormat, 1+s.rng.IntN(3))
	m.proposeCommand(leasedtask.Command{Kind: kind, Task: task, Name: "op", Reason: "request",
		TransferTo: s.machines[s.rng.IntN(len(s.machines))].number}, func(consensus.Response) {})
}

// act acts in a task if the lease allows it. It checks that no receiver sees an older fencing token after a
// newer one or the same token from two machines, and that a new holder has every committed update of the
// note.
func (m *machine) act(l leasedtask.Lease) {
	s := m.sim
	if m.tasks.releasing[l.FencingToken] || !l.Valid(m.localTime()) {
		return
	}
	newest := s.observed.actions[l.Task]
	if l.FencingToken < newest.token || l.FencingToken == newest.token && newest.machine != m.name {
		s.violatef("%s acts in %s under the fencing token %d after %s has under %d", m.name, l.Task,
			l.FencingToken, newest.machine, newest.token)
	}
	s.result.TaskActions++
	note, _ := strconv.Atoi(string(l.Note))
	if l.FencingToken > newest.token {
		s.result.TaskTransfers++
		s.tracef("%s begins to act in %s under the fencing token %d, at note %d", m.name, l.Task,
			l.FencingToken, note)
		if committed := s.observed.notes[l.Task]; note < committed {
			s.violatef("%s begins %s at note %d, but note %d was committed", m.name, l.Task, note, committed)
		}
		s.observed.actions[l.Task] = action{l.FencingToken, m.name}
	}
	if !s.faultsEnded && s.rng.IntN(40) == 0 {
		m.updateNote(l, note+1)
	}
}

func (m *machine) updateNote(l leasedtask.Lease, note int) {
	m.proposeCommand(leasedtask.Command{Kind: leasedtask.UpdateNote, Task: l.Task,
		FencingToken: l.FencingToken, NoteRevision: l.NoteRevision,
		Note: []byte(strconv.Itoa(note))}, func(response consensus.Response) {
		if response.Err == nil && response.Outcome.Code == 0 {
			m.sim.observed.notes[l.Task] = max(m.sim.observed.notes[l.Task], note)
		}
	})
}
