package simulation

import (
	"fmt"
	"strconv"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
)

// practice is what a machine does with the duties that it holds: it acts whenever it may, notes how
// often, and gives them back when it is asked to.
type practice struct {
	held    []leasedtask.Lease
	leaving map[uint64]bool // numbers that it gives back
}

// act is the newest of a duty, as a receiver has seen it.
type act struct {
	number uint64
	by     string
}

// holds takes the instance's word. Words may overtake each other here, as they may not at a loop:
// one that holds less than it knows does no harm, and an old number is of no use.
func (m *machine) holds(held []leasedtask.Lease) {
	m.duties.held = held
	if m.duties.leaving == nil {
		m.duties.leaving = map[uint64]bool{}
	}
	for _, h := range held {
		if h.ReleaseReason == "" || m.duties.leaving[h.FencingToken] {
			continue
		}
		m.later(int64(1+m.w.rng.IntN(40)), func() { m.release(h) })
	}
}

// release gives a duty back: from here on it does not act in it.
func (m *machine) release(h leasedtask.Lease) {
	m.duties.leaving[h.FencingToken] = true
	m.word(
		leasedtask.Command{
			Kind:         leasedtask.Release,
			Task:         h.Task,
			FencingToken: h.FencingToken,
			Reason:       h.ReleaseReason,
			Failed:       m.w.rng.IntN(8) == 0,
		},
		func(consensus.Response) {
			m.later(int64(50+m.w.rng.IntN(100)), func() { m.repeat(h) })
		},
	)
}

// repeat gives it back once more, where that has not come about.
func (m *machine) repeat(h leasedtask.Lease) {
	for _, x := range m.duties.held {
		if x.FencingToken == h.FencingToken {
			m.release(x)
			return
		}
	}
}

func (m *machine) word(c leasedtask.Command, then func(consensus.Response)) {
	m.w.made++
	c.ID = fmt.Sprintf("duty-%d", m.w.made)
	t := m.live().ProposeCommand(leasedtask.Section, leasedtask.EncodeCommand(c), c.ID)
	m.answers[t] = then
	m.drive()
}

// practise acts now and then.
func (m *machine) practise() {
	m.later(int64(1+m.w.rng.IntN(20)), func() {
		for _, h := range m.duties.held {
			m.act(h)
		}
		if w := m.w; !w.calm && w.rng.IntN(300) == 0 {
			kind := []leasedtask.Kind{leasedtask.Transfer, leasedtask.Transfer, leasedtask.Pause,
				leasedtask.Resume, leasedtask.Resume}[w.rng.IntN(5)]
			m.word(
				leasedtask.Command{
					Kind:       kind,
					Task:       fmt.Sprintf(leasedtask.DrillTaskFormat, 1+w.rng.IntN(3)),
					Name:       "op",
					Reason:     "by wish",
					TransferTo: w.machines[w.rng.IntN(len(w.machines))].number,
				},
				func(consensus.Response) {},
			)
		}
		if m.inst != nil {
			m.practise()
		}
	})
}

// act does a step of a duty, if the machine may. No receiver may see an older number after a newer
// one, nor one number from two machines; and who begins must have every note that was agreed on.
func (m *machine) act(h leasedtask.Lease) {
	w := m.w
	if m.duties.leaving[h.FencingToken] || !h.Valid(m.local()) {
		return
	}
	was := w.acts[h.Task]
	if h.FencingToken < was.number || h.FencingToken == was.number && was.by != m.name {
		w.violate(
			"%s acts in %s under the number %d after %s has under %d",
			m.name,
			h.Task,
			h.FencingToken,
			was.by,
			was.number,
		)
	}
	w.res.TaskActions++
	note, _ := strconv.Atoi(string(h.Note))
	if h.FencingToken > was.number {
		w.res.TaskTransfers++
		w.trace("%s acts in %s under %d, from note %d on", m.name, h.Task, h.FencingToken, note)
		if note < w.noted[h.Task] {
			w.violate("%s begins %s at note %d, and %d was agreed on", m.name, h.Task, note, w.noted[h.Task])
		}
		w.acts[h.Task] = act{h.FencingToken, m.name}
	}
	if !w.calm && w.rng.IntN(40) == 0 {
		next := note + 1
		m.word(
			leasedtask.Command{
				Kind:         leasedtask.UpdateNote,
				Task:         h.Task,
				FencingToken: h.FencingToken,
				NoteRevision: h.NoteRevision,
				Note:         []byte(strconv.Itoa(next)),
			},
			func(a consensus.Response) {
				if a.Err == nil && a.Outcome.Code == 0 {
					w.noted[h.Task] = max(w.noted[h.Task], next)
				}
			},
		)
	}
}
