package node

import (
	"errors"
	"maps"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/frontend/platform"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/hotrestart"
)

var (
	errBeside   = errors.New("taking over: the old process has clients still")
	errTwoCores = errors.New("a node with more than the platform's front can't pass its state on")
)

// upgrade carries out what the machine of the handover says.
type upgrade struct {
	*Node
	place   hotrestart.Place
	machine *hotrestart.Machine
	link    *hotrestart.Link    // with the other process; nil: there is none
	inlet   *eventloop.Listener // where the next process asks; nil: not open
	held    map[string]float64  // what the successor was told of our unfinished jobs
}

var _ platform.Beside = (*upgrade)(nil)

// join looks for a process whose place this one takes. Whatever is in the way, the node
// starts: alone if no other is there, else beside it at a socket of its own, and strange
// is true.
func join(cfg *platform.Config, log logrus.FieldLogger) (hotrestart.Place, *hotrestart.Offered, bool) {
	place := hotrestart.At(os.Getenv("TMPDIR"), cfg.Listen)
	offered, err := place.Join(cfg.Name, cfg.Listen)
	strange := err != nil && !errors.Is(err, hotrestart.ErrAlone)
	switch {
	case errors.Is(err, hotrestart.ErrAlone):
	case err != nil:
		log.WithError(err).Warn("the process before this one can't be taken over from; serving beside it")
	default:
		log.Info("taking the place of the process before this one")
	}
	return place, offered, strange
}

// begin sets the handover up for a node that is open. Offered is nil for one that found
// no other process.
func (n *Node) begin(place hotrestart.Place, offered *hotrestart.Offered, began time.Duration) error {
	u := &upgrade{Node: n, place: place, machine: hotrestart.Old()}
	n.upgrade = u
	if offered == nil {
		u.next()
		return nil
	}
	u.machine = hotrestart.New(began)
	var err error
	if u.link, err = hotrestart.Connect(n.loop, offered.Conn, u.said, u.gone); err != nil {
		return err
	}
	u.share(true)
	u.link.Send(hotrestart.Message{Type: hotrestart.IsTake})
	n.loop.After(hotrestart.LetBy, func() {
		if u.machine.Phase() == hotrestart.Taking {
			u.step(hotrestart.Late)
		}
	})
	return nil
}

// Ready is nil while this process is ready to be the node's only one.
func (u *upgrade) ready() error {
	if u == nil || u.machine.Ready(u.loop.Now()) {
		return nil
	}
	return errBeside
}

// next listens for the process that will take this one's place.
func (u *upgrade) next() {
	if u.inlet != nil {
		u.inlet.Close()
	}
	var err error
	if u.inlet, err = u.place.Listen(u.loop, u.asked); err != nil {
		u.log.WithError(err).Warn("no other process will be able to take this one's place")
	}
}

// asked takes the connection of a process that may want this one's place. It says so with
// its first message.
func (u *upgrade) asked(c *eventloop.Conn) {
	hotrestart.Accept(c, u.said, u.gone)
}

// share has the limits be for two processes, or for one.
func (u *upgrade) share(on bool) {
	var with platform.Beside
	parts := int64(1)
	if on {
		with, parts = u, 2
	}
	u.front.Share(with)
	debug.SetMemoryLimit(u.memory / parts)
}

func (u *upgrade) gone(l *hotrestart.Link, err error) {
	if l != u.link {
		return // one that was refused, or said nothing
	}
	u.log.WithError(err).WithField("phase", u.machine.Phase().String()).Info("the other process is gone")
	u.step(hotrestart.Gone)
}

// said takes a message.
func (u *upgrade) said(l *hotrestart.Link, m *hotrestart.Message) {
	if m.Type == hotrestart.IsHello {
		u.hello(l)
		return
	}
	if l != u.link {
		l.Close() // it has not said who it is
		return
	}
	switch m.Type {
	case hotrestart.IsTake:
		u.step(hotrestart.Take)
	case hotrestart.IsTaken:
		u.front.Theirs(m.IDs)
		u.step(hotrestart.Taken)
	case hotrestart.IsEmpty:
		u.step(hotrestart.Empty)
	case hotrestart.IsCall:
		u.front.Called(m.Body)
		u.link.Send(hotrestart.Message{Type: hotrestart.IsHeard, Number: m.Number})
	case hotrestart.IsHeard:
		u.front.Heard(m.Number)
	case hotrestart.IsBegun:
		u.front.Theirs(m.IDs)
	case hotrestart.IsJob:
		fd, ok := l.TakeFD()
		if !ok {
			u.log.Error("an open job came without its client's connection")
			return
		}
		if err := u.front.Foster(m.Job, fd); err != nil {
			u.log.WithError(err).Error("an open job is lost")
		}
	case hotrestart.IsHeld:
		u.cores[0].Beside(m.Held)
	case hotrestart.IsBan:
		u.banned(m.Ban)
	}
}

func (u *upgrade) hello(l *hotrestart.Link) {
	was := u.link
	for _, e := range u.machine.Step(hotrestart.Asked) {
		if e == hotrestart.Refuse {
			l.Refuse("the process is " + u.machine.Phase().String())
			continue
		}
		u.link = l
		if err := u.offer(); err != nil {
			u.log.WithError(err).Error("the state can't be passed on")
			u.step(hotrestart.Gone)
			return
		}
		u.share(true)
		u.loop.After(hotrestart.TakeBy, func() {
			if u.link == l && u.machine.Phase() == hotrestart.Offering {
				u.log.Warn("the process that asked for this one's place does not serve in time")
				u.step(hotrestart.Late)
			}
		})
	}
	if was != nil && u.link != was {
		was.Close()
	}
}

// offer sends all that the rules must know of what this process did.
func (u *upgrade) offer() error {
	if len(u.cores) != 1 {
		return errTwoCores
	}
	passed := u.cores[0].Pass()
	generation, list, err := u.front.List()
	if err != nil {
		return err
	}
	s := &hotrestart.State{Generation: generation, Instances: list, Known: passed.Known, Module: passed.Module,
		Now: u.loop.Now(), Starts: u.front.Starts()}
	s.Discovery, s.Written = u.front.Discovery()
	for name, since := range passed.Bans {
		s.Bans = append(s.Bans, hotrestart.Ban{Name: name, Out: true, Since: since})
	}
	for name, t := range passed.Back {
		s.Bans = append(s.Bans, hotrestart.Ban{Name: name, Since: t[0], Ended: t[1]})
	}
	return u.link.Offer(s, u.front.Socket())
}

// passed is a state as the core takes it.
func passed(s *hotrestart.State) broker.Passed {
	p := broker.Passed{Known: s.Known, Bans: map[string]time.Duration{},
		Back: map[string][2]time.Duration{}, Module: s.Module}
	for _, b := range s.Bans {
		if b.Out {
			p.Bans[b.Name] = b.Since
		} else {
			p.Back[b.Name] = [2]time.Duration{b.Since, b.Ended}
		}
	}
	return p
}

// step has the machine take an event, and does what it says.
func (u *upgrade) step(event hotrestart.Event) {
	before := u.machine.Phase()
	for _, e := range u.machine.Step(event) {
		switch e {
		case hotrestart.LetGo:
			u.front.LetGo()
			u.link.Send(hotrestart.Message{Type: hotrestart.IsTaken, IDs: u.cores[0].Open()})
			u.poll()
		case hotrestart.Resume:
			u.front.TakeBack()
		case hotrestart.Grow:
			u.share(false)
			u.cores[0].Beside(nil)
		case hotrestart.Next:
			u.next()
		case hotrestart.Hangup:
			if u.link != nil {
				u.link.Close()
				u.link = nil
			}
		}
	}
	if now := u.machine.Phase(); now != before {
		u.log.WithField("phase", now.String()).Info("the handover goes on")
	}
}

// poll tells the successor what this process has unfinished, and once it owes no client
// anything.
func (u *upgrade) poll() {
	if u.machine.Phase() != hotrestart.Handed || u.link == nil {
		return
	}
	if held := u.cores[0].Held(); !maps.Equal(held, u.held) {
		u.held = held
		u.link.Send(hotrestart.Message{Type: hotrestart.IsHeld, Held: held})
	}
	if end := u.front.Ends(); end > 0 && u.loop.Now() >= end+hotrestart.GiveAfter {
		if n := u.front.GiveAway(u.link.Job); n > 0 {
			u.log.WithField("jobs", n).Info("open jobs are the other process's now")
		}
	}
	if u.front.Alone() {
		u.link.Send(hotrestart.Message{Type: hotrestart.IsEmpty})
		return
	}
	u.loop.After(20*time.Millisecond, u.poll)
}

// Relay passes a next hop's call-back on.
func (u *upgrade) Relay(number uint64, body []byte) {
	u.link.Send(hotrestart.Message{Type: hotrestart.IsCall, Number: number, Body: body})
}

// Begun tells of a transaction that the other process must not begin.
func (u *upgrade) Begun(id string) {
	// The state is told before the ids that are open: what begins until then is among them.
	if p := u.machine.Phase(); p == hotrestart.Handed || p == hotrestart.Beside || p == hotrestart.Taking {
		u.link.Send(hotrestart.Message{Type: hotrestart.IsBegun, IDs: []string{id}})
	}
}

// tell passes an operator's word on to the other process, for both still give out work.
func (u *upgrade) tell(id string, out bool) {
	if u != nil && u.link != nil {
		u.link.Send(hotrestart.Message{Type: hotrestart.IsBan, Ban: &hotrestart.Ban{Name: id, Out: out}})
	}
}

func (u *upgrade) banned(b *hotrestart.Ban) {
	for _, c := range u.cores {
		if b.Out {
			c.Ban(b.Name)
		} else {
			c.Unban(b.Name)
		}
	}
}
