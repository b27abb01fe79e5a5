package simulation

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// fault does something to the world.
func (w *world) fault() {
	pick := func() *machine { return w.machines[w.faults.IntN(len(w.machines))] }
	name := ""
	switch w.faults.IntN(19) {
	case 0, 1:
		name = "power"
		pick().die(true)
	case 2:
		name = "kill"
		pick().die(false)
	case 3, 4:
		// At some point of its next writes and sends: before, between or after them.
		name = "power mid-write"
		pick().dieIn = 1 + w.faults.IntN(8)
	case 5:
		name = "leader mid-write"
		if lead := w.leader(); lead != nil {
			lead.dieIn = 1 + w.faults.IntN(10)
		}
	case 6:
		name = "cut off"
		m := pick()
		for _, o := range w.machines {
			if o != m {
				w.cut[[2]string{m.name, o.name}], w.cut[[2]string{o.name, m.name}] = true, true
			}
		}
	case 7:
		name = "one-way cut"
		m := pick()
		out := w.faults.IntN(2) == 0
		for _, o := range w.machines {
			if o != m {
				if out {
					w.cut[[2]string{m.name, o.name}] = true
				} else {
					w.cut[[2]string{o.name, m.name}] = true
				}
			}
		}
	case 8:
		name = "cut in two"
		k := 1 + w.faults.IntN(len(w.machines)-1)
		for i, a := range w.machines {
			for j, b := range w.machines {
				if (i < k) != (j < k) {
					w.cut[[2]string{a.name, b.name}] = true
				}
			}
		}
	case 9, 10:
		name = "cuts end"
		clear(w.cut)
	case 11:
		name = "loss"
		w.loss = []float64{0, 0.05, 0.3}[w.faults.IntN(3)]
	case 12:
		name = "disk full"
		pick().fs.FreeBytes = int64(w.faults.IntN(2000))
	case 13:
		name = "clock"
		m := pick()
		m.local() // until now it went by the pace before
		m.pace = tick + int64(w.faults.IntN(9)) - 4
	case 14:
		name = "transfer"
		if lead := w.leader(); lead != nil {
			w.operate(lead, &schema.Operation{Kind: schema.Operation_TRANSFER, Name: pick().name}, 0)
		}
	case 15:
		name = w.members()
	case 16:
		name = "stall"
		pick().stall(int64(w.faults.IntN(600)))
	case 17:
		name = "leader stalls"
		if lead := w.leader(); lead != nil {
			lead.stall(int64(w.faults.IntN(900)))
		}
	case 18:
		name = "many stall"
		for _, m := range w.machines {
			if w.faults.IntN(2) == 0 {
				m.stall(int64(w.faults.IntN(400)))
			}
		}
	}
	w.trace("fault: %s", name)
	w.res.Faults[name]++
}

// members changes who belongs to the group.
func (w *world) members() string {
	lead := w.leader()
	if lead == nil {
		return "no leader to ask"
	}
	m := w.machines[w.faults.IntN(len(w.machines))]
	// One at a time: a majority that has lost its word has lost what it agreed on, and
	// nobody can be blamed for that but the operators.
	var spare *machine
	for _, o := range w.machines {
		if o.spare {
			spare = o
		} else if o.inst == nil || !w.member(o) {
			return "change put off"
		}
	}
	if w.faults.IntN(2) == 0 {
		if m == spare || spare.inst == nil {
			return "change put off"
		}
		w.operate(lead, &schema.Operation{Kind: schema.Operation_REPLACE, Name: m.name, By: spare.name}, 0)
		w.exchange(m, spare, 20)
		return "replaced"
	}
	if m == spare {
		return "change put off"
	}
	if w.faults.IntN(2) == 0 && m != lead {
		// Its disk is gone, and with it its word: it must not vote under its old name.
		m.die(false)
		m.fs.EraseDisk()
		w.after(60, func() { w.enter(m) })
		return "wiped"
	}
	// One goes and comes back as a new one.
	w.operate(lead, &schema.Operation{Kind: schema.Operation_REMOVE, Name: m.name}, 0)
	w.after(400, func() {
		// Only who is surely out may lose its disk.
		if lead := w.leader(); lead == nil || !lead.inst.State().WasRemoved(m.number) {
			return
		}
		m.die(false)
		m.fs.EraseDisk()
		w.after(400, func() { w.enter(m) })
	})
	return "removed"
}

// exchange has a machine whose vote the spare one has taken become the spare one, once
// that is sure: the change may be half-way for long, or never come about.
func (w *world) exchange(m, spare *machine, left int) {
	w.after(100, func() {
		if lead := w.leader(); lead != nil && lead.inst.State().WasRemoved(m.number) && m.inst != nil {
			m.spare, spare.spare = true, false
			m.die(false)
			m.fs.EraseDisk()
			w.after(400, func() { w.enter(m) })
			w.enter(spare)
		} else if left > 0 {
			w.exchange(m, spare, left-1)
		}
	})
}

// tidy sets aside, as operators do who know that a machine's disk is gone, sessions of lives
// that can't come back. Where nothing runs out by itself, changes would wait for them for ever.
func (w *world) tidy() {
	w.after(500, func() {
		if lead := w.leader(); lead != nil && lead.inst.State() != nil {
			for _, x := range lead.inst.State().Rollout().List() {
				if w.calm && lead.inst.State().WasRemoved(x.Member) {
					w.retire(x.Member)
				}
				if x.Open && !slices.ContainsFunc(w.machines,
					func(m *machine) bool { return m.number == x.Member }) {
					w.made++
					lead.live().ProposeRolloutCommand(
						rollout.Command{Kind: rollout.SetAside, Member: x.Member,
							ID: fmt.Sprintf("aside-%d", w.made)},
					)
					lead.drive()
				}
			}
		}
		w.tidy()
	})
}

// retire ends a machine that was removed and never heard so.
func (w *world) retire(number uint64) {
	for _, m := range w.machines {
		if m.number == number {
			m.die(false)
			m.fs.EraseDisk()
			m.number = 0
			w.after(400, func() { w.enter(m) })
		}
	}
}

// member says whether the leader knows the machine as a voter.
func (w *world) member(m *machine) bool {
	if lead := w.leader(); lead != nil {
		for _, s := range lead.inst.Status().Members {
			if s.ID == m.number {
				return s.Voter
			}
		}
	}
	return false
}

func (w *world) heal() {
	w.trace("all is mended")
	clear(w.cut)
	w.loss = 0
	for _, m := range w.machines {
		m.fs.FreeBytes = -1
		m.dieIn, m.stalled = 0, 0
		m.start()
	}
}

// What clients do is recorded for the check that all of it can be put in one order.
type input struct {
	write bool
	base  uint64
	id    string
}

type output struct {
	unknown  bool // it may have taken effect at any time, or never
	accepted bool
	revision uint64
	id       string // of the change that is in force
}

// register is the agreed document as a sequential object: a revision and the change that
// made it.
type register struct {
	revision uint64
	id       string
}

var model = porcupine.Model{
	Init: func() any { return register{1, "first"} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(register), in.(input), out.(output)
		switch {
		case !i.write:
			return o.revision == s.revision && o.id == s.id, s
		case o.accepted:
			return i.base == s.revision && o.revision == s.revision+1, register{s.revision + 1, i.id}
		default:
			return i.base != s.revision, s
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// client reads and proposes, one after the other, and repeats what it has no answer for
// under the same id.
func (w *world) client(n int) {
	w.after(int64(20+w.rng.IntN(150)), func() {
		if w.calm {
			return
		}
		up := w.up()
		if len(up) == 0 {
			w.client(n)
			return
		}
		m := up[w.rng.IntN(len(up))]
		state := m.inst.State()
		if state == nil {
			w.client(n)
			return
		}
		if w.rng.IntN(3) == 0 {
			w.read(n, m)
			return
		}
		w.made++
		base := state.CurrentRevision().Number
		id := fmt.Sprintf("c%d-%d", n, w.made)
		c := clusterstate.Change{
			ID:           id,
			BaseRevision: base,
			Author:       id,
			ProposedAt:   time.UnixMilli(w.now),
			Document:     w.document(w.made),
		}
		w.propose(n, m, c, w.now, 8)
	})
}

func (w *world) read(n int, m *machine) {
	call := w.now
	done := false
	t := m.live().ReadIndex()
	m.answers[t] = func(a consensus.Response) {
		done = true
		w.client(n)
		if a.Err != nil {
			return
		}
		w.res.Reads++
		r := m.inst.State().CurrentRevision()
		w.trace("client %d reads revision %d (%s) from %s", n, r.Number, r.ChangeID, m.name)
		w.record(n, input{}, output{revision: r.Number, id: r.ChangeID}, call)
	}
	w.lost(m, &done, func() { w.client(n) })
	m.drive()
}

// lost calls f if a machine dies before its answer.
func (w *world) lost(m *machine, done *bool, f func()) {
	life := m.life
	var look func()
	look = func() {
		switch {
		case *done:
		case m.life != life:
			*done = true
			f()
		default:
			w.after(tick, look)
		}
	}
	w.after(tick, look)
}

func (w *world) propose(n int, m *machine, c clusterstate.Change, call int64, left int) {
	done := false
	again := func(why string) {
		if left > 0 && !w.calm {
			w.after(int64(10+w.rng.IntN(60)), func() {
				if up := w.up(); len(up) > 0 && !w.calm {
					w.propose(n, up[w.rng.IntN(len(up))], c, call, left-1)
				} else {
					w.unknown(n, c, call)
				}
			})
			return
		}
		w.trace("client %d gives %s up: %s", n, c.ID, why)
		w.unknown(n, c, call)
	}
	w.trace("client %d proposes %s on revision %d to %s", n, c.ID, c.BaseRevision, m.name)
	t := m.live().Propose(c, false)
	m.answers[t] = func(a consensus.Response) {
		done = true
		if a.Err != nil {
			again(a.Err.Error())
			return
		}
		o := a.Outcome
		w.trace("client %d is told by %s: %s is %v, revision %d", n, m.name, c.ID, o.Code, o.Revision)
		switch o.Code {
		case clusterstate.Accepted:
			w.res.ChangesAccepted++
			w.acked[c.ID] = o.Revision
			w.record(n, input{true, c.BaseRevision, c.ID}, output{accepted: true, revision: o.Revision}, call)
		case clusterstate.Withdrawn:
			w.res.ChangesWithdrawn++
		case clusterstate.Conflict:
			w.res.ChangesRejected++
			if o.Revision == c.BaseRevision {
				break // another change took hold, and may be in force or not
			}
			w.record(n, input{true, c.BaseRevision, c.ID}, output{}, call)
		default:
			w.violate("change %s is %v: %v", c.ID, o.Code, o.Problems)
		}
		w.client(n)
	}
	w.lost(m, &done, func() { again("the machine died") })
	m.drive()
}

func (w *world) unknown(n int, c clusterstate.Change, call int64) {
	w.res.ChangesUnknown++
	w.history = append(
		w.history,
		porcupine.Operation{ClientId: n + 100 + len(w.history), Input: input{true, c.BaseRevision, c.ID},
			Call: call, Output: output{unknown: true}, Return: 1 << 60},
	)
	w.client(n)
}

func (w *world) record(n int, in input, out output, call int64) {
	w.history = append(
		w.history,
		porcupine.Operation{ClientId: n, Input: in, Call: call, Output: out, Return: w.now},
	)
}

// level says whether all members have applied the same entries.
func (w *world) level() bool {
	applied := map[uint64]bool{}
	for _, m := range w.up() {
		if w.member(m) {
			applied[m.inst.Applied()] = true
		}
	}
	return len(applied) == 1
}

// finale looks at everything once all is well again.
func (w *world) finale() {
	if len(w.res.Violations) > 0 {
		return
	}
	for id, revision := range w.acked {
		if w.byRev[revision] != id {
			w.violate(
				"change %s was acknowledged as revision %d, which is %q: lost",
				id,
				revision,
				w.byRev[revision],
			)
		}
	}
	lead := w.leader()
	if lead == nil {
		w.violate("there is no leader though all is well")
		return
	}
	// Duties may change hands at any time: what is looked at is what all have applied.
	for range 50 {
		if w.level() {
			break
		}
		w.run(1)
	}
	var first []byte
	for _, m := range w.up() {
		if !w.member(m) {
			continue
		}
		if m.inst.State() == nil {
			w.violate("%s has a vote and no state at the end", m.name)
			return
		}
		b := m.inst.State().Encode()
		if first == nil {
			first = b
		}
		if !bytes.Equal(first, b) {
			w.violate("%s has another state than others at the end", m.name)
		}
	}
	ok := false
	c := clusterstate.Change{ID: "last", BaseRevision: lead.inst.State().CurrentRevision().Number,
		Document: w.document(1 << 20)}
	t := lead.live().Propose(c, false)
	lead.answers[t] = func(a consensus.Response) {
		ok = a.Err == nil &&
			a.Outcome.Code == clusterstate.Accepted
	}
	lead.drive()
	w.run(400)
	if !ok {
		w.violate("the group takes no change though all is well")
	}
	for _, m := range w.up() {
		if w.member(m) && !m.front.permit.Admits(m.local(), m.front.running) {
			w.violate("%s admits nothing though all is well: %+v, running %d", m.name, m.front.permit,
				m.front.running)
		}
	}
	// A change that its client gave up came into force some time or never. Where it did, the
	// agreed order says as what; one that never did bears on nothing.
	w.history = slices.DeleteFunc(w.history, func(o porcupine.Operation) bool {
		return o.Output.(output).unknown && w.byID[o.Input.(input).id] == 0
	})
	for i := range w.history {
		if o := &w.history[i]; o.Output.(output).unknown {
			o.Output = output{accepted: true, revision: w.byID[o.Input.(input).id]}
		}
	}
	slices.SortStableFunc(w.history, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	switch porcupine.CheckOperationsTimeout(model, w.history, time.Minute) {
	case porcupine.Illegal:
		w.violate("what clients saw can't be put in one order")
	case porcupine.Unknown:
		w.violate("whether what clients saw can be put in one order was not found out in a minute")
	}
}
