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
	errParentServes  = errors.New("taking over: the old process has clients still")
	errSeveralFronts = errors.New("a node with more than the platform's front can't pass its state on")
)

// statusInterval is how often a parent process reports its in-flight jobs to its child.
const statusInterval = 20 * time.Millisecond

// hotRestart drives package hotrestart: one process of a node, the child, takes the place of another, its
// parent, while the node serves. All of it belongs to the node's loop. The nil hotRestart is of a node that
// no process takes over.
type hotRestart struct {
	node     *Node
	log      logrus.FieldLogger
	place    hotrestart.SocketPath
	machine  *hotrestart.Machine
	link     *hotrestart.Link    // with the other process; nil: there is none
	listener *eventloop.Listener // where a child connects; nil: not open
	inFlight map[string]float64  // by endpoint, as the child was sent it last
}

var _ platform.PeerProcess = (*hotRestart)(nil)

// parentProcess is the process whose place this one takes, as far as it was found.
type parentProcess struct {
	place   hotrestart.SocketPath
	offered *hotrestart.Inheritance // nil: it passes no state on
	serves  bool                    // it serves on, and this process at a socket of its own as well
}

// joinParent finds the process whose place this one takes. Whatever is in the way, the node starts: alone if
// there is no other, else at a socket of its own.
func joinParent(cfg *platform.Config, log logrus.FieldLogger) parentProcess {
	p := parentProcess{place: hotrestart.SocketFor(os.Getenv("TMPDIR"), cfg.ListenAddress)}
	var err error
	p.offered, err = p.place.Join(cfg.Name, cfg.ListenAddress)
	switch {
	case errors.Is(err, hotrestart.ErrNoParent):
	case err != nil:
		p.serves = true
		log.WithError(err).Warn("hot restart failed: serving beside the parent process")
	default:
		log.Info("hot restart: taking over from the parent process")
	}
	return p
}

// openFromParent opens the platform's front with the state and the socket of the parent.
func (n *Node) openFromParent(cfg *platform.Config, c *broker.Broker, offered *hotrestart.Inheritance) error {
	cfg.InheritDiscovery(offered.State.DiscoveryAddress, offered.State.ConfiguredDiscovery)
	offered.State.RebaseTimes(n.loop.Now())
	return n.front.OpenInherited(c, offered.ListenerFD, offered.State, decodeBrokerState(offered.State))
}

// startHotRestart begins the exchange with the parent, or has this node be ready for a child.
func (n *Node) startHotRestart(p parentProcess, began time.Duration) error {
	h := &hotRestart{node: n, log: n.log, place: p.place, machine: hotrestart.NewWithoutParent()}
	n.hotRestart = h
	if p.offered == nil {
		h.listen()
		return nil
	}
	h.machine = hotrestart.NewChild(began)
	var err error
	if h.link, err = hotrestart.ConnectLink(n.loop, p.offered.ConnFD, h.receive, h.disconnected); err != nil {
		return err
	}
	h.shareLimits(true)
	h.link.Send(hotrestart.Message{Type: hotrestart.TypeChildServes})
	n.loop.After(hotrestart.ReleaseTimeout, func() {
		if h.machine.Phase() == hotrestart.TakingOver {
			h.step(hotrestart.TimedOut)
		}
	})
	return nil
}

// ready is nil while this process is ready to be the node's only one.
func (h *hotRestart) ready() error {
	if h == nil || h.machine.Ready(h.node.loop.Now()) {
		return nil
	}
	return errParentServes
}

// listen waits for the process that will take this one's place.
func (h *hotRestart) listen() {
	if h.listener != nil {
		h.listener.Close()
	}
	var err error
	if h.listener, err = h.place.Listen(h.node.loop, h.accept); err != nil {
		h.log.WithError(err).Warn("hot restart not possible: its socket can't be opened")
	}
}

// accept takes the connection of a process that may want this one's place. Its first message
// shows whether it does.
func (h *hotRestart) accept(c *eventloop.Conn) {
	hotrestart.AcceptLink(c, h.receive, h.disconnected)
}

// broker is the platform front's: a node with another front has no hot restart.
func (h *hotRestart) broker() *broker.Broker { return h.node.brokers[0].Broker }

// shareLimits has the limits be for two processes, or for one.
func (h *hotRestart) shareLimits(two bool) {
	var with platform.PeerProcess
	processes := int64(1)
	if two {
		with, processes = h, 2
	}
	h.node.front.SetPeerProcess(with)
	debug.SetMemoryLimit(h.node.memoryLimit / processes)
}

func (h *hotRestart) disconnected(l *hotrestart.Link, err error) {
	if l != h.link {
		return // one that was rejected, or sent nothing
	}
	h.log.WithError(err).WithField("phase", h.machine.Phase().String()).
		Info("hot restart: connection to the other process lost")
	h.step(hotrestart.PeerLost)
}

// receive dispatches a message of the other process.
func (h *hotRestart) receive(l *hotrestart.Link, m *hotrestart.Message) {
	if m.Type == hotrestart.TypeHello {
		h.handleHello(l)
		return
	}
	if l != h.link {
		l.Close() // it has sent no hello
		return
	}
	switch m.Type {
	case hotrestart.TypeChildServes:
		h.step(hotrestart.ChildServes)
	case hotrestart.TypeParentReleased:
		h.node.front.AddPeerRequests(m.RequestIDs)
		h.step(hotrestart.ParentReleased)
	case hotrestart.TypeParentDrained:
		h.step(hotrestart.ParentDrained)
	case hotrestart.TypeCallBack:
		h.handleCallback(m)
	case hotrestart.TypeCallBackHandled:
		h.node.front.CallBackHandled(m.CallBackNumber)
	case hotrestart.TypeRequestsBegun:
		h.node.front.AddPeerRequests(m.RequestIDs)
	case hotrestart.TypeMigratedRequest:
		h.handleJob(l, m)
	case hotrestart.TypeInFlight:
		h.broker().SetPredecessorInFlight(m.InFlight)
	case hotrestart.TypeMaintenance:
		h.handleMaintenance(m.Maintenance)
	}
}

// handleHello takes the request of a process to take this one's place: it is sent the state, or rejected.
func (h *hotRestart) handleHello(l *hotrestart.Link) {
	before := h.link
	for _, effect := range h.machine.Step(hotrestart.TakeoverRequested) {
		if effect == hotrestart.RejectTakeover {
			l.Reject("the process is " + h.machine.Phase().String())
			continue
		}
		h.link = l
		if err := h.sendState(); err != nil {
			h.log.WithError(err).Error("hot restart failed: state not sent")
			h.step(hotrestart.PeerLost)
			return
		}
		h.shareLimits(true)
		h.node.loop.After(hotrestart.ChildServesTimeout, func() {
			if h.link == l && h.machine.Phase() == hotrestart.Offering {
				h.log.Warn("hot restart failed: the child process does not serve in time")
				h.step(hotrestart.TimedOut)
			}
		})
	}
	if before != nil && h.link != before {
		before.Close()
	}
}

// handleCallback takes a worker's call-back that the other process forwarded.
func (h *hotRestart) handleCallback(m *hotrestart.Message) {
	h.node.front.HandleForwardedCallBack(m.Body)
	h.link.Send(hotrestart.Message{Type: hotrestart.TypeCallBackHandled, CallBackNumber: m.CallBackNumber})
}

// handleJob adopts an open job, with its client's connection.
func (h *hotRestart) handleJob(l *hotrestart.Link, m *hotrestart.Message) {
	fd, ok := l.PopFD()
	if !ok {
		h.log.Error("hot restart: migrated request without its client's connection")
		return
	}
	if err := h.node.front.AdoptRequest(m.Request, fd); err != nil {
		h.log.WithError(err).Error("hot restart: migrated request lost")
	}
}

// handleMaintenance takes an operator's command that was given to the other process.
func (h *hotRestart) handleMaintenance(b *hotrestart.Maintenance) {
	for _, c := range h.node.brokers {
		if b.Active {
			c.StartMaintenance(b.Endpoint)
		} else {
			c.EndMaintenance(b.Endpoint)
		}
	}
}

// step has the machine take an event, and carries out its effects.
func (h *hotRestart) step(event hotrestart.Event) {
	before := h.machine.Phase()
	for _, effect := range h.machine.Step(event) {
		switch effect {
		case hotrestart.StopAccepting:
			h.node.front.StopAccepting()
			h.link.Send(hotrestart.Message{Type: hotrestart.TypeParentReleased,
				RequestIDs: h.broker().OpenRequestIDs()})
			h.sendStatus()
		case hotrestart.ResumeAccepting:
			h.node.front.ResumeAccepting()
		case hotrestart.RestoreLimits:
			h.shareLimits(false)
			h.broker().SetPredecessorInFlight(nil)
		case hotrestart.ListenForChild:
			h.listen()
		case hotrestart.CloseLink:
			if h.link != nil {
				h.link.Close()
				h.link = nil
			}
		}
	}
	if now := h.machine.Phase(); now != before {
		h.log.WithField("phase", now.String()).Info("hot restart phase changed")
	}
}

// sendStatus sends the child this process's in-flight jobs, migrates them when it is time, and reports
// when this process owes no client anything.
func (h *hotRestart) sendStatus() {
	if h.machine.Phase() != hotrestart.ParentDraining || h.link == nil {
		return
	}
	if inFlight := h.broker().InFlight(); !maps.Equal(inFlight, h.inFlight) {
		h.inFlight = inFlight
		h.link.Send(hotrestart.Message{Type: hotrestart.TypeInFlight, InFlight: inFlight})
	}
	if end := h.node.front.ShutdownRequestedAt(); end > 0 &&
		h.node.loop.Now() >= end+hotrestart.MigrateAfter {
		if n := h.node.front.MigrateRequests(h.link.SendRequest); n > 0 {
			h.log.WithField("count", n).Info("hot restart: in-flight requests migrated")
		}
	}
	if h.node.front.Drained() {
		h.link.Send(hotrestart.Message{Type: hotrestart.TypeParentDrained})
		return
	}
	h.node.loop.After(statusInterval, h.sendStatus)
}

// ForwardCallBack implements platform.PeerProcess: it forwards a worker's call-back.
func (h *hotRestart) ForwardCallBack(number uint64, body []byte) {
	h.link.Send(hotrestart.Message{Type: hotrestart.TypeCallBack, CallBackNumber: number, Body: body})
}

// RequestBegun implements platform.PeerProcess: it reports a request that the other process must not begin.
func (h *hotRestart) RequestBegun(id string) {
	// The state is sent before the ids that are open: what begins until then is among them.
	if p := h.machine.Phase(); p == hotrestart.ParentDraining || p == hotrestart.ServingAlongsideParent ||
		p == hotrestart.TakingOver {
		h.link.Send(hotrestart.Message{Type: hotrestart.TypeRequestsBegun, RequestIDs: []string{id}})
	}
}

// sendMaintenance passes an operator's command on to the other process, for both still give out work.
func (h *hotRestart) sendMaintenance(id string, on bool) {
	if h != nil && h.link != nil {
		h.link.Send(hotrestart.Message{Type: hotrestart.TypeMaintenance,
			Maintenance: &hotrestart.Maintenance{Endpoint: id, Active: on}})
	}
}
