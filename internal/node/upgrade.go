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
	place   hotrestart.SocketPath
	machine *hotrestart.Machine
	link    *hotrestart.Link    // with the other process; nil: there is none
	inlet   *eventloop.Listener // where the next process asks; nil: not open
	held    map[string]float64  // what the successor was told of our unfinished jobs
}

var _ platform.PeerProcess = (*upgrade)(nil)

// join looks for a process whose place this one takes. Whatever is in the way, the node
// starts: alone if no other is there, else beside it at a socket of its own, and strange
// is true.
func join(
	cfg *platform.Config,
	log logrus.FieldLogger,
) (hotrestart.SocketPath, *hotrestart.Inheritance, bool) {
	place := hotrestart.SocketFor(os.Getenv("TMPDIR"), cfg.ListenAddress)
	offered, err := place.Join(cfg.Name, cfg.ListenAddress)
	strange := err != nil && !errors.Is(err, hotrestart.ErrNoParent)
	switch {
	case errors.Is(err, hotrestart.ErrNoParent):
	case err != nil:
		log.WithError(err).Warn("the process before this one can't be taken over from; serving beside it")
	default:
		log.Info("taking the place of the process before this one")
	}
	return place, offered, strange
}

// begin sets the handover up for a node that is open. Offered is nil for one that found
// no other process.
func (n *Node) begin(
	place hotrestart.SocketPath,
	offered *hotrestart.Inheritance,
	began time.Duration,
) error {
	u := &upgrade{Node: n, place: place, machine: hotrestart.NewWithoutParent()}
	n.upgrade = u
	if offered == nil {
		u.next()
		return nil
	}
	u.machine = hotrestart.NewChild(began)
	var err error
	if u.link, err = hotrestart.ConnectLink(n.loop, offered.ConnFD, u.said, u.gone); err != nil {
		return err
	}
	u.share(true)
	u.link.Send(hotrestart.Message{Type: hotrestart.TypeChildServes})
	n.loop.After(hotrestart.ReleaseTimeout, func() {
		if u.machine.Phase() == hotrestart.TakingOver {
			u.step(hotrestart.TimedOut)
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
	hotrestart.AcceptLink(c, u.said, u.gone)
}

// share has the limits be for two processes, or for one.
func (u *upgrade) share(on bool) {
	var with platform.PeerProcess
	parts := int64(1)
	if on {
		with, parts = u, 2
	}
	u.front.SetPeerProcess(with)
	debug.SetMemoryLimit(u.memory / parts)
}

func (u *upgrade) gone(l *hotrestart.Link, err error) {
	if l != u.link {
		return // one that was refused, or said nothing
	}
	u.log.WithError(err).WithField("phase", u.machine.Phase().String()).Info("the other process is gone")
	u.step(hotrestart.PeerLost)
}

// said takes a message.
func (u *upgrade) said(l *hotrestart.Link, m *hotrestart.Message) {
	if m.Type == hotrestart.TypeHello {
		u.hello(l)
		return
	}
	if l != u.link {
		l.Close() // it has not said who it is
		return
	}
	switch m.Type {
	case hotrestart.TypeChildServes:
		u.step(hotrestart.ChildServes)
	case hotrestart.TypeParentReleased:
		u.front.AddPeerRequests(m.RequestIDs)
		u.step(hotrestart.ParentReleased)
	case hotrestart.TypeParentDrained:
		u.step(hotrestart.ParentDrained)
	case hotrestart.TypeCallBack:
		u.front.HandleForwardedCallBack(m.Body)
		u.link.Send(
			hotrestart.Message{Type: hotrestart.TypeCallBackHandled, CallBackNumber: m.CallBackNumber},
		)
	case hotrestart.TypeCallBackHandled:
		u.front.CallBackHandled(m.CallBackNumber)
	case hotrestart.TypeRequestsBegun:
		u.front.AddPeerRequests(m.RequestIDs)
	case hotrestart.TypeMigratedRequest:
		fd, ok := l.TakeFD()
		if !ok {
			u.log.Error("an open job came without its client's connection")
			return
		}
		if err := u.front.AdoptRequest(m.Request, fd); err != nil {
			u.log.WithError(err).Error("an open job is lost")
		}
	case hotrestart.TypeInFlight:
		u.cores[0].SetOtherInFlight(m.InFlight)
	case hotrestart.TypeMaintenance:
		u.banned(m.Maintenance)
	}
}

func (u *upgrade) hello(l *hotrestart.Link) {
	was := u.link
	for _, e := range u.machine.Step(hotrestart.TakeoverRequested) {
		if e == hotrestart.RejectRequest {
			l.Reject("the process is " + u.machine.Phase().String())
			continue
		}
		u.link = l
		if err := u.offer(); err != nil {
			u.log.WithError(err).Error("the state can't be passed on")
			u.step(hotrestart.PeerLost)
			return
		}
		u.share(true)
		u.loop.After(hotrestart.ChildServesTimeout, func() {
			if u.link == l && u.machine.Phase() == hotrestart.Offering {
				u.log.Warn("the process that asked for this one's place does not serve in time")
				u.step(hotrestart.TimedOut)
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
	passed := u.cores[0].ExportState()
	generation, list, err := u.front.CurrentList()
	if err != nil {
		return err
	}
	s := &hotrestart.State{
		Generation:     generation,
		Instances:      list,
		KnownEndpoints: passed.KnownNames,
		Balancer:       passed.Balancer,
		SentAt:         u.loop.Now(),
		WorkerStarts:   u.front.WorkerStarts(),
	}
	s.DiscoveryAddress, s.ConfiguredDiscovery = u.front.DiscoveryAddresses()
	for name, since := range passed.UnderMaintenance {
		s.Maintenance = append(
			s.Maintenance,
			hotrestart.Maintenance{Endpoint: name, Active: true, StartedAt: since},
		)
	}
	for name, t := range passed.ReturnedFromMaintenance {
		s.Maintenance = append(
			s.Maintenance,
			hotrestart.Maintenance{Endpoint: name, StartedAt: t.Since, EndedAt: t.Ended},
		)
	}
	return u.link.SendState(s, u.front.ListenerFD())
}

// passed is a state as the core takes it.
func passed(s *hotrestart.State) broker.ProcessState {
	p := broker.ProcessState{KnownNames: s.KnownEndpoints, UnderMaintenance: map[string]time.Duration{},
		ReturnedFromMaintenance: map[string]broker.MaintenancePeriod{}, Balancer: s.Balancer}
	for _, b := range s.Maintenance {
		if b.Active {
			p.UnderMaintenance[b.Endpoint] = b.StartedAt
		} else {
			p.ReturnedFromMaintenance[b.Endpoint] = broker.MaintenancePeriod{Since: b.StartedAt, Ended: b.EndedAt}
		}
	}
	return p
}

// step has the machine take an event, and does what it says.
func (u *upgrade) step(event hotrestart.Event) {
	before := u.machine.Phase()
	for _, e := range u.machine.Step(event) {
		switch e {
		case hotrestart.StopAccepting:
			u.front.StopAccepting()
			u.link.Send(
				hotrestart.Message{Type: hotrestart.TypeParentReleased, RequestIDs: u.cores[0].OpenIDs()},
			)
			u.poll()
		case hotrestart.ResumeAccepting:
			u.front.ResumeAccepting()
		case hotrestart.RestoreLimits:
			u.share(false)
			u.cores[0].SetOtherInFlight(nil)
		case hotrestart.ListenForChild:
			u.next()
		case hotrestart.CloseLink:
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
	if u.machine.Phase() != hotrestart.ParentDraining || u.link == nil {
		return
	}
	if held := u.cores[0].InFlight(); !maps.Equal(held, u.held) {
		u.held = held
		u.link.Send(hotrestart.Message{Type: hotrestart.TypeInFlight, InFlight: held})
	}
	if end := u.front.ShutdownRequestedAt(); end > 0 && u.loop.Now() >= end+hotrestart.MigrateAfter {
		if n := u.front.MigrateRequests(u.link.SendRequest); n > 0 {
			u.log.WithField("jobs", n).Info("open jobs are the other process's now")
		}
	}
	if u.front.Drained() {
		u.link.Send(hotrestart.Message{Type: hotrestart.TypeParentDrained})
		return
	}
	u.loop.After(20*time.Millisecond, u.poll)
}

// ForwardCallBack passes a next hop's call-back on.
func (u *upgrade) ForwardCallBack(number uint64, body []byte) {
	u.link.Send(hotrestart.Message{Type: hotrestart.TypeCallBack, CallBackNumber: number, Body: body})
}

// RequestBegun tells of a transaction that the other process must not begin.
func (u *upgrade) RequestBegun(id string) {
	// The state is told before the ids that are open: what begins until then is among them.
	if p := u.machine.Phase(); p == hotrestart.ParentDraining || p == hotrestart.ServingBesideParent ||
		p == hotrestart.TakingOver {
		u.link.Send(hotrestart.Message{Type: hotrestart.TypeRequestsBegun, RequestIDs: []string{id}})
	}
}

// tell passes an operator's word on to the other process, for both still give out work.
func (u *upgrade) tell(id string, out bool) {
	if u != nil && u.link != nil {
		u.link.Send(
			hotrestart.Message{
				Type:        hotrestart.TypeMaintenance,
				Maintenance: &hotrestart.Maintenance{Endpoint: id, Active: out},
			},
		)
	}
}

func (u *upgrade) banned(b *hotrestart.Maintenance) {
	for _, c := range u.cores {
		if b.Active {
			c.StartMaintenance(b.Endpoint)
		} else {
			c.EndMaintenance(b.Endpoint)
		}
	}
}
