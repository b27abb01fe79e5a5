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
	held    []leasedtask.Held
	leaving map[uint64]bool // numbers that it gives back
}

// act is the newest of a duty, as a receiver has seen it.
type act struct {
	number uint64
	by     string
}

// holds takes the instance's word. Words may overtake each other here, as they may not at a loop:
// one that holds less than it knows does no harm, and an old number is of no use.
func (m *machine) holds(held []leasedtask.Held) {
	m.duties.held = held
	if m.duties.leaving == nil {
		m.duties.leaving = map[uint64]bool{}
	}
	for _, h := range held {
		if h.Leaving == "" || m.duties.leaving[h.Number] {
			continue
		}
		m.later(int64(1+m.w.rng.IntN(40)), func() { m.release(h) })
	}
}

// release gives a duty back: from here on it does not act in it.
func (m *machine) release(h leasedtask.Held) {
	m.duties.leaving[h.Number] = true
	m.word(leasedtask.Command{Kind: leasedtask.Release, Duty: h.Duty, Number: h.Number, Reason: h.Leaving,
		Failed: m.w.rng.IntN(8) == 0}, func(consensus.Answer) {
		m.later(int64(50+m.w.rng.IntN(100)), func() { m.repeat(h) })
	})
}

// repeat gives it back once more, where that has not come about.
func (m *machine) repeat(h leasedtask.Held) {
	for _, x := range m.duties.held {
		if x.Number == h.Number {
			m.release(x)
			return
		}
	}
}

func (m *machine) word(c leasedtask.Command, then func(consensus.Answer)) {
	m.w.made++
	c.ID = fmt.Sprintf("duty-%d", m.w.made)
	t := m.live().Say(leasedtask.Section, leasedtask.Encode(c), c.ID)
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
			kind := []leasedtask.Kind{leasedtask.HandOn, leasedtask.HandOn, leasedtask.Pause, leasedtask.Resume, leasedtask.Resume}[w.rng.IntN(5)]
			m.word(leasedtask.Command{Kind: kind, Duty: fmt.Sprintf(leasedtask.Drill, 1+w.rng.IntN(3)), Name: "op",
				Reason: "by wish", To: w.machines[w.rng.IntN(len(w.machines))].number},
				func(consensus.Answer) {})
		}
		if m.inst != nil {
			m.practise()
		}
	})
}

// act does a step of a duty, if the machine may. No receiver may see an older number after a newer
// one, nor one number from two machines; and who begins must have every note that was agreed on.
func (m *machine) act(h leasedtask.Held) {
	w := m.w
	if m.duties.leaving[h.Number] || !h.May(m.local()) {
		return
	}
	was := w.acts[h.Duty]
	if h.Number < was.number || h.Number == was.number && was.by != m.name {
		w.violate("%s acts in %s under the number %d after %s has under %d", m.name, h.Duty, h.Number, was.by,
			was.number)
	}
	w.res.Acts++
	note, _ := strconv.Atoi(string(h.Note))
	if h.Number > was.number {
		w.res.Handed++
		w.trace("%s acts in %s under %d, from note %d on", m.name, h.Duty, h.Number, note)
		if note < w.noted[h.Duty] {
			w.violate("%s begins %s at note %d, and %d was agreed on", m.name, h.Duty, note, w.noted[h.Duty])
		}
		w.acts[h.Duty] = act{h.Number, m.name}
	}
	if !w.calm && w.rng.IntN(40) == 0 {
		next := note + 1
		m.word(leasedtask.Command{Kind: leasedtask.Note, Duty: h.Duty, Number: h.Number, Turn: h.Turn,
			Note: []byte(strconv.Itoa(next))}, func(a consensus.Answer) {
			if a.Err == nil && a.Outcome.Code == 0 {
				w.noted[h.Duty] = max(w.noted[h.Duty], next)
			}
		})
	}
}
