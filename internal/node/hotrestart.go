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
	errSeveralFronts = errors.New("hot restart is not supported for a node with several fronts")
)

// statusInterval is how often a parent process reports its in-flight jobs to its child.
const statusInterval = 20 * time.Millisecond

// hotRestart drives package hotrestart: one process of a node, the child, takes over from another, its
// parent, while the node serves. It is confined to the node's loop. A nil hotRestart means that hot restart
// is off.
type hotRestart struct {
	node       *Node
	log        logrus.FieldLogger
	socketPath hotrestart.SocketPath
	machine    *hotrestart.Machine
	link       *hotrestart.Link    // to the other process; nil: none
	listener   *eventloop.Listener // to which a child connects; nil: not open
	inFlight   map[string]float64  // by endpoint, as last sent to the child
	adopted    int                 // requests that the parent has migrated to this process
	reported   bool                // the child knows that this process has drained
}

var _ platform.PeerProcess = (*hotRestart)(nil)

// parentProcess is what joinParent found of a process to take over from.
type parentProcess struct {
	socketPath   hotrestart.SocketPath
	inheritance  *hotrestart.Inheritance // nil: the parent passes no state on
	parentServes bool                    // the parent still serves; this process has a separate socket
}

// joinParent looks for a process to take over from. If there is none, this process serves alone. If the
// takeover fails, it still starts, on a separate socket.
func joinParent(cfg *platform.Config, log logrus.FieldLogger) parentProcess {
	p := parentProcess{socketPath: hotrestart.SocketFor(os.Getenv("TMPDIR"), cfg.ListenAddress)}
	var err error
	p.inheritance, err = p.socketPath.Join(cfg.Name, cfg.ListenAddress)
	switch {
	case errors.Is(err, hotrestart.ErrNoParent):
	case err != nil:
		p.parentServes = true
		log.WithError(err).Warn("hot restart failed: serving beside the parent process")
	default:
		log.Info("hot restart: taking over from the parent process")
	}
	return p
}

// openFromParent opens the platform's front with the state and the socket of the parent.
func (n *Node) openFromParent(cfg *platform.Config, b *broker.Broker,
	inherited *hotrestart.Inheritance) error {
	cfg.InheritDiscovery(inherited.State.DiscoveryAddress, inherited.State.ConfiguredDiscovery)
	inherited.State.RebaseTimes(n.loop.Now())
	return n.front.OpenInherited(b, inherited.ListenerFD, inherited.State, decodeBrokerState(inherited.State))
}

// startHotRestart starts the exchange with the parent, or listens for a child.
func (n *Node) startHotRestart(p parentProcess, startedAt time.Duration) error {
	h := &hotRestart{node: n, log: n.log, socketPath: p.socketPath, machine: hotrestart.NewWithoutParent()}
	n.hotRestart = h
	if p.inheritance == nil {
		h.listen()
		return nil
	}
	h.machine = hotrestart.NewChild(startedAt)
	var err error
	if h.link, err = hotrestart.ConnectLink(n.loop, p.inheritance.ConnFD, h.receive,
		h.disconnected); err != nil {
		return err
	}
	h.setLimitSharing(true)
	h.link.Send(hotrestart.Message{Type: hotrestart.TypeChildServes})
	n.loop.After(hotrestart.ReleaseTimeout, func() {
		if h.machine.Phase() == hotrestart.TakingOver {
			h.step(hotrestart.TimedOut)
		}
	})
	return nil
}

// ready returns nil while this process is ready to be the node's only one.
func (h *hotRestart) ready() error {
	if h == nil || h.machine.Ready(h.node.loop.Now()) {
		return nil
	}
	return errParentServes
}

// listen opens the socket to which a child connects.
func (h *hotRestart) listen() {
	if h.listener != nil {
		h.listener.Close()
	}
	var err error
	if h.listener, err = h.socketPath.Listen(h.node.loop, h.accept); err != nil {
		h.log.WithError(err).Warn("hot restart not possible: its socket can't be opened")
	}
}

// accept accepts a connection. Its first message shows whether the process at the other end requests a
// takeover.
func (h *hotRestart) accept(c *eventloop.Conn) {
	hotrestart.AcceptLink(c, h.receive, h.disconnected)
}

// broker returns the platform front's broker: a node with several fronts has no hot restart.
func (h *hotRestart) broker() *broker.Broker { return h.node.brokers[0].Broker }

// setLimitSharing divides the node's limits between two processes, or gives this process all of them.
func (h *hotRestart) setLimitSharing(shared bool) {
	var peer platform.PeerProcess
	processes := int64(1)
	if shared {
		peer, processes = h, 2
	}
	h.node.front.SetPeerProcess(peer)
	debug.SetMemoryLimit(h.node.memoryLimit / processes)
}

func (h *hotRestart) disconnected(l *hotrestart.Link, err error) {
	if l != h.link {
		return // a rejected connection, or one that sent nothing
	}
	h.log.WithError(err).WithField("phase", h.machine.Phase().String()).
		Info("hot restart: connection to the other process lost")
	if h.adopted > 0 {
		h.log.WithField("count", h.adopted).Info("hot restart: in-flight requests adopted")
		h.adopted = 0
	}
	h.step(hotrestart.PeerLost)
}

// receive dispatches a message from the other process.
func (h *hotRestart) receive(l *hotrestart.Link, m *hotrestart.Message) {
	if m.Type == hotrestart.TypeHello {
		h.handleHello(l)
		return
	}
	if l != h.link {
		l.Close() // the process at the other end has not sent its hello
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
		h.adoptRequest(l, m)
	case hotrestart.TypeInFlight:
		h.broker().SetPredecessorInFlight(m.InFlight)
	case hotrestart.TypeMaintenance:
		h.handleMaintenance(m.Maintenance)
	}
}

// handleHello handles a takeover request: it sends the state, or rejects the request.
func (h *hotRestart) handleHello(l *hotrestart.Link) {
	previous := h.link
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
		h.setLimitSharing(true)
		h.node.loop.After(hotrestart.ChildServesTimeout, func() {
			if h.link == l && h.machine.Phase() == hotrestart.Offering {
				h.log.Warn("hot restart failed: the child process does not serve in time")
				h.step(hotrestart.TimedOut)
			}
		})
	}
	if previous != nil && h.link != previous {
		previous.Close()
	}
}

// handleCallback handles a worker's call-back that the other process forwarded.
func (h *hotRestart) handleCallback(m *hotrestart.Message) {
	h.node.front.HandleForwardedCallBack(m.Body)
	h.link.Send(hotrestart.Message{Type: hotrestart.TypeCallBackHandled, CallBackNumber: m.CallBackNumber})
}

// adoptRequest takes over an open request, with its client's connection.
func (h *hotRestart) adoptRequest(l *hotrestart.Link, m *hotrestart.Message) {
	fd, ok := l.PopFD()
	if !ok {
		h.log.Error("hot restart: migrated request without its client's connection")
		return
	}
	if err := h.node.front.AdoptRequest(m.Request, fd); err != nil {
		h.log.WithError(err).Error("hot restart: migrated request lost")
		return
	}
	h.adopted++
}

// handleMaintenance applies an operator's command that was given to the other process.
func (h *hotRestart) handleMaintenance(m *hotrestart.Maintenance) {
	for _, b := range h.node.brokers {
		if m.Active {
			b.StartMaintenance(m.Endpoint)
		} else {
			b.EndMaintenance(m.Endpoint)
		}
	}
}

// step passes an event to the state machine and carries out its effects.
func (h *hotRestart) step(event hotrestart.Event) {
	previous := h.machine.Phase()
	for _, effect := range h.machine.Step(event) {
		switch effect {
		case hotrestart.StopAccepting:
			h.reported = false
			h.node.front.StopAccepting()
			h.link.Send(hotrestart.Message{Type: hotrestart.TypeParentReleased,
				RequestIDs: h.broker().OpenRequestIDs()})
			h.sendStatus()
		case hotrestart.ResumeAccepting:
			h.node.front.ResumeAccepting()
		case hotrestart.RestoreLimits:
			h.setLimitSharing(false)
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
	if phase := h.machine.Phase(); phase != previous {
		h.log.WithField("phase", phase.String()).Info("hot restart phase changed")
	}
}

// sendStatus sends the child this process's in-flight jobs, migrates them hotrestart.MigrateAfter after the
// shutdown was requested, and reports when no client waits for a response of this process for the first time.
// It goes on after that: a request may still come on a connection that was opened just before the takeover.
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
	if !h.reported && h.node.front.Drained() {
		h.reported = true
		h.link.Send(hotrestart.Message{Type: hotrestart.TypeParentDrained})
	}
	h.node.loop.After(statusInterval, h.sendStatus)
}

// ForwardCallBack implements platform.PeerProcess: it forwards a worker's call-back.
func (h *hotRestart) ForwardCallBack(number uint64, body []byte) {
	h.link.Send(hotrestart.Message{Type: hotrestart.TypeCallBack, CallBackNumber: number, Body: body})
}

// RequestBegun implements platform.PeerProcess: it reports a request that the other process must not start.
func (h *hotRestart) RequestBegun(id string) {
	// In earlier phases nothing is reported: the ids of open requests are sent after the state, and include
	// the requests begun until then.
	if p := h.machine.Phase(); p == hotrestart.ParentDraining || p == hotrestart.ServingAlongsideParent ||
		p == hotrestart.TakingOver {
		h.link.Send(hotrestart.Message{Type: hotrestart.TypeRequestsBegun, RequestIDs: []string{id}})
	}
}

// sendMaintenance passes an operator's command on to the other process, because both still dispatch jobs.
func (h *hotRestart) sendMaintenance(id string, active bool) {
	if h != nil && h.link != nil {
		h.link.Send(hotrestart.Message{Type: hotrestart.TypeMaintenance,
			Maintenance: &hotrestart.Maintenance{Endpoint: id, Active: active}})
	}
}
