package schedule

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"strings"
	"testing"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/verify/modelcheck"
)

// The model: two instances, one trigger with two occurrences, and the log. At any time an instance may
// apply the next entry, lose its lease, renew it (by a leader that has applied all, where it has, too),
// die, be opened a session; may put into the log what its own state says, however old that is and whether
// or not it has a lease; and begin what is its own by its state, with a lease only. What it says may be
// lost, come late, or twice.

type modelEntry struct {
	c    Command
	seat Session // opened
	gone Session // has surely ended
}

type modelNode struct {
	state   *State
	members [3]uint64 // epochs by member, as its state has them
	applied int
	epoch   uint64 // of this life
	lease   bool
	begun   [4]bool // by number, in this life
	ended   [4]bool // and answered
}

type model struct {
	b      modelLimits
	log    []modelEntry
	said   []Command
	nodes  [3]modelNode // 0: what has all of the log applied
	epochs uint64
	now    int64
	acts   [4]int // by number, of all lives
	keys   map[string]int
	wrong  string

	crashes, opens, lapses, doubles, words int
}

type modelLimits struct {
	crashes, opens, lapses, doubles, words int
	once                                   bool // the class may not be repeated
	minutes                                int64
	policy                                 *Policy
	plan                                   *calendar.Recurrence
	broken                                 string
}

const modelBegin = 1_800_000_000

func newModel(t testing.TB, b modelLimits) *model {
	class := "any"
	if b.once {
		class = "once"
	}
	p, wrong := ParsePolicy(map[string]string{"zone": "UTC", "trigger.a": "* * * * * late=100h class=" +
		class},
		KnownNames{Classes: []string{"any", "once"}})
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	b.policy = &p
	b.plan, _ = calendar.Parse("* * * * *", calendar.UTC(), calendar.Rules{})
	m := &model{b: b, now: modelBegin, keys: map[string]int{}}
	for k := range m.nodes {
		m.nodes[k].state = NewState()
		m.nodes[k].state.Configure(&p)
		m.nodes[k].state.SetOwners(nil)
	}
	m.put(
		modelEntry{
			c: Command{
				Kind:             DeclarePolicy,
				PolicyVersion:    p.Version,
				ZoneRulesVersion: 1,
				ClusterTime:      modelBegin,
			},
		},
	)
	for k := uint64(1); k <= 2; k++ {
		m.epochs++
		m.put(modelEntry{seat: Session{Member: k, Epoch: m.epochs}})
		m.nodes[k].epoch, m.nodes[k].lease = m.epochs, true
	}
	for k := range m.nodes {
		for m.nodes[k].applied < len(m.log) {
			m.apply(k)
		}
	}
	return m
}

func cloneState(s *State) *State {
	c := *s
	c.Shards, c.ActiveSince, c.LastWallClock = maps.Clone(
		s.Shards,
	), maps.Clone(
		s.ActiveSince,
	), maps.Clone(
		s.LastWallClock,
	)
	c.open = map[uint64]*Firing{}
	for n, i := range s.open {
		item := *i
		c.open[n] = &item
	}
	c.newFirings, c.events, c.Failures = nil, nil, nil
	return &c
}

func (m *model) clone() *model {
	c := *m
	c.log, c.said = append([]modelEntry(nil), m.log...), append([]Command(nil), m.said...)
	c.keys = maps.Clone(m.keys)
	for k := range c.nodes {
		c.nodes[k].state = cloneState(m.nodes[k].state)
	}
	return &c
}

func (m *model) Key() uint64 {
	b := make([]byte, 0, 512)
	num := func(list ...uint64) {
		for _, n := range list {
			b = binary.AppendUvarint(b, n)
		}
	}
	yes := func(list ...bool) {
		for _, x := range list {
			if x {
				b = append(b, 1)
			} else {
				b = append(b, 0)
			}
		}
	}
	word := func(c Command) {
		num(
			uint64(c.Kind),
			c.Session.Member,
			c.Session.Epoch,
			uint64(c.ClusterTime-modelBegin),
			uint64(len(c.Occurrences)),
		)
		for _, x := range c.Advances {
			num(x.FromVersion)
		}
		num(c.Numbers...)
	}
	num(uint64(m.now-modelBegin), uint64(m.crashes), uint64(m.opens), uint64(m.lapses), uint64(m.doubles),
		uint64(m.words), m.epochs)
	for _, n := range m.acts {
		num(uint64(n))
	}
	for k := range m.nodes {
		n := &m.nodes[k]
		num(uint64(len(m.log)-n.applied), n.epoch)
		num(n.members[:]...)
		yes(n.lease)
		yes(n.begun[:]...)
		yes(n.ended[:]...)
		num(uint64(len(n.state.open)))
		for number := range uint64(5) {
			if i := n.state.open[number]; i != nil {
				num(number, i.Session.Member, i.Session.Epoch)
				yes(i.Orphaned, i.Redelivered)
			}
		}
		x := n.state.Shards[modelShard]
		num(x.Version, uint64(max(x.Watermark-modelBegin, 0)))
	}
	for _, c := range m.said {
		b = append(b, '+')
		word(c)
	}
	for _, e := range m.log[min(m.nodes[1].applied, m.nodes[2].applied):] {
		b = append(b, '!')
		word(e.c)
		num(e.seat.Member, e.seat.Epoch, e.gone.Member, e.gone.Epoch)
	}
	return maphash.Bytes(modelSeed, b)
}

var modelShard = placement.ShardOf("a")

var modelSeed = maphash.MakeSeed()

func (m *model) Violation() string { return m.wrong }

func (m *model) put(e modelEntry) {
	m.log = append(m.log, e)
	m.apply(0)
}

// apply has an instance apply the next entry.
func (m *model) apply(k int) {
	n := &m.nodes[k]
	e := m.log[n.applied]
	n.applied++
	switch {
	case e.c.Kind != NoCommand:
		_ = n.state.Apply(e.c)
	case e.gone != Session{}:
		n.state.OrphanFirings(func(s Session) bool { return s == e.gone })
		if n.members[e.gone.Member] == e.gone.Epoch {
			n.members[e.gone.Member] = 0
		}
	default:
		n.state.OrphanFirings(
			func(s Session) bool { return s.Member == e.seat.Member && s.Epoch != e.seat.Epoch },
		)
		n.members[e.seat.Member] = e.seat.Epoch
	}
	var list []placement.Member
	for k, epoch := range n.members {
		if epoch != 0 {
			list = append(list, placement.Member{Session: Session{Member: uint64(k), Epoch: epoch}})
		}
	}
	n.state.SetOwners(list)
	if k == 0 {
		for _, x := range n.state.TakeEvents() {
			if x.Kind == "intend" {
				if m.keys[x.Key]++; m.keys[x.Key] > 1 {
					m.wrong = x.Key + " was intended twice"
				}
			}
			if x.Kind == "settle" && x.Result == Succeeded && m.acts[x.Number] == 0 {
				m.wrong = x.Key + " has ended as done, and nobody began it"
			}
		}
	}
}

// words is what an instance may say by its state.
func (m *model) words1(k int) (out []Command) {
	n := &m.nodes[k]
	seat := Session{Member: uint64(k), Epoch: n.epoch}
	shard := modelShard
	if owner, ok := n.state.Owner(shard); ok && owner == seat {
		c := Command{
			Kind:             IntendFirings,
			Session:          seat,
			PolicyVersion:    m.b.policy.Version,
			ZoneRulesVersion: 1,
			ClusterTime:      m.now,
			Advances:         []ShardAdvance{{shard, n.state.Shards[shard].Version}},
		}
		plan := m.b.plan
		for o, _ := plan.Next(n.state.intendedThrough(&m.b.policy.Triggers[0])); o.At <= m.now; o,
			_ = plan.Next(o.At) {
			c.Occurrences = append(
				c.Occurrences,
				DueOccurrence{LocalTime: o.LocalTime, At: o.At, WallClock: o.WallClock},
			)
		}
		if len(c.Occurrences) > 0 {
			out = append(out, c)
		}
		for _, i := range n.state.OpenFirings() {
			if i.Orphaned {
				r := Succeeded
				if m.b.once {
					r = Unknown
				}
				out = append(out, Command{Kind: ResolveOrphans, Session: seat, Numbers: []uint64{i.Number},
					Results: []Result{r}})
			}
		}
	}
	for _, i := range n.state.OpenFirings() {
		if i.Session == seat && n.ended[i.Number] {
			out = append(out, Command{Kind: RecordResults, Session: seat, Numbers: []uint64{i.Number},
				Results: []Result{Succeeded}})
		}
	}
	return out
}

func (m *model) Transitions() (out []modelcheck.Transition[*model]) {
	do := func(what string, f func(*model)) {
		c := m.clone()
		f(c)
		out = append(out, modelcheck.Transition[*model]{Event: what, State: c})
	}
	if m.now < modelBegin+60*m.b.minutes {
		do("a minute passes", func(c *model) { c.now += 60 })
	}
	for k := 1; k <= 2; k++ {
		n := &m.nodes[k]
		session := m.nodes[0].members[k] // as the log has it
		if n.applied < len(m.log) {
			do(fmt.Sprint(k, " applies"), func(c *model) { c.apply(k) })
		}
		if n.lease {
			do(fmt.Sprint(k, "'s lease ends"), func(c *model) { c.nodes[k].lease = false })
		} else if n.epoch != 0 && session == n.epoch && n.applied == len(m.log) {
			do(fmt.Sprint(k, "'s lease is renewed"), func(c *model) { c.nodes[k].lease = true })
		}
		if session != 0 && !(n.lease && session == n.epoch) && m.lapses < m.b.lapses {
			do(fmt.Sprint(k, "'s session ends"), func(c *model) {
				c.lapses++
				c.put(modelEntry{gone: Session{Member: uint64(k), Epoch: session}})
			})
		}
		if m.crashes < m.b.crashes && n.epoch != 0 {
			do(fmt.Sprint(k, " dies"), func(c *model) {
				c.crashes++
				x := &c.nodes[k]
				x.epoch, x.lease, x.begun, x.ended = 0, false, [4]bool{}, [4]bool{}
			})
		}
		// A life without a session, or one whose session has ended, is opened one.
		if (n.epoch == 0 || session != n.epoch) && n.applied == len(m.log) && m.opens < m.b.opens {
			do(fmt.Sprint(k, " is opened a session"), func(c *model) {
				c.opens++
				c.epochs++
				c.nodes[k].epoch = c.epochs
				c.put(modelEntry{seat: Session{Member: uint64(k), Epoch: c.epochs}})
			})
		}
		if n.epoch != 0 && m.words < m.b.words && len(m.said) < 2 {
			for _, w := range m.words1(k) {
				do(fmt.Sprint(k, " says ", w.Kind), func(c *model) {
					c.words++
					c.said = append(c.said, w)
				})
			}
		}
		for _, i := range n.state.OpenFirings() {
			if i.Session == (Session{Member: uint64(k), Epoch: n.epoch}) && !i.Orphaned &&
				!n.begun[i.Number] &&
				(n.lease || m.b.broken == "lease") {
				do(fmt.Sprint(k, " begins ", i.Number), func(c *model) {
					c.nodes[k].begun[i.Number] = true
					if c.acts[i.Number]++; c.b.once && c.acts[i.Number] > 1 {
						c.wrong = "begun twice, and may not be repeated"
					}
					if c.acts[i.Number] > 1 && !i.Redelivered {
						c.wrong = "begun by two, and nobody has taken it over"
					}
				})
			}
			if n.begun[i.Number] && !n.ended[i.Number] {
				do(fmt.Sprint(k, " is answered ", i.Number),
					func(c *model) { c.nodes[k].ended[i.Number] = true })
			}
		}
	}
	for k, w := range m.said {
		drop := func(c *model) { c.said = append(c.said[:k:k], c.said[k+1:]...) }
		do("a word is agreed on", func(c *model) { drop(c); c.put(modelEntry{c: w}) })
		do("a word is lost", drop)
		if m.doubles < m.b.doubles {
			do("a word is agreed on, and comes again", func(c *model) {
				c.doubles++
				c.put(modelEntry{c: w})
			})
		}
	}
	return out
}

var most = flag.Int64("states", 15_000, "how many states the explorer visits at the most")

// In no order of events is an occurrence intended twice, begun twice where it may not be, or begun by one
// from whom it was taken.
func TestNoOrderOfEventsFiresTwice(t *testing.T) {
	for _, b := range []modelLimits{
		{minutes: 1, crashes: 1, opens: 1, lapses: 1, words: 3, once: true},
		{minutes: 1, crashes: 1, opens: 1, lapses: 1, words: 3},
		{minutes: 1, opens: 1, lapses: 1, doubles: 1, words: 3, once: true},
		{minutes: 2, lapses: 1, words: 4, once: true},
	} {
		r := modelcheck.Check(newModel(t, b), *most)
		t.Logf("%+v: %d states, whole %v", b, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s:\n%s", r.Violation, strings.Join(r.Trace, "\n"))
		}
	}
}

// Who begins without a lease is found: the job is begun by two.
func TestTheExplorerFindsWhatIsBroken(t *testing.T) {
	r := modelcheck.Check(newModel(t, modelLimits{minutes: 1, lapses: 1, words: 3, broken: "lease"}), *most)
	if r.Violation == "" {
		t.Errorf("%d states, whole %v, none wrong", r.States, r.Complete)
	}
	t.Logf("%s, by %d events", r.Violation, len(r.Trace))
}
