package platform

import (
	"encoding/json"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/hotrestart"
)

// PeerProcess is the other process of this node, while one takes the other's place.
type PeerProcess interface {
	// ForwardCallBack passes a call-back on; Heard tells what has become of it, by the number.
	ForwardCallBack(number uint64, body []byte)
	// RequestBegun tells of a transaction that the other must not begin, too.
	RequestBegun(id string)
}

// peerState is what passes between this process and the one beside it.
type peerState struct {
	peer          PeerProcess // nil: there is none
	limitsShared  bool        // the limits are for both
	lastForwarded uint64
	forwarded     map[uint64]*client  // next hops whose call-back is with the other
	peerRequests  map[string]struct{} // transactions that are open there

	unknownPeerUntil time.Duration // there may be one that can't be spoken to
}

// unknownPeerSpan is how long a process that can't be spoken to may share the address: the
// platform ends it some 10 s after this one's start.
const unknownPeerSpan = 10 * time.Second

// ExpectUnknownPeer says that another process of the node may be there, and can't be spoken to.
func (f *Front) ExpectUnknownPeer() { f.unknownPeerUntil = f.loop.Now() + unknownPeerSpan }

// forwardTimeout is how long the other process may take over a call-back. The next hop calls
// again after that, as it does when nobody answers.
const forwardTimeout = time.Second

// forwardCallBack passes a call-back that is for no branch of ours to the other process, and
// reports whether there is one. A next hop calls the shared address, and whoever accepts
// may not be the one whose attempt it is.
//
// Hazard: to answer before the other has it loses the result if that one dies meanwhile.
func (f *Front) forwardCallBack(c *client, body []byte) bool {
	if f.peer == nil {
		return false
	}
	f.lastForwarded++
	n := f.lastForwarded
	f.forwarded[n], c.callBackForwarded = c, true
	f.peer.ForwardCallBack(n, body)
	f.loop.After(forwardTimeout, func() { f.respondForwarded(n, 503) })
	return true
}

// CallBackHandled tells that the other process has taken a call-back, or knows nothing of it either:
// calling again would not help.
func (f *Front) CallBackHandled(number uint64) { f.respondForwarded(number, 204) }

func (f *Front) respondForwarded(number uint64, status int) {
	c := f.forwarded[number]
	if c == nil {
		return
	}
	delete(f.forwarded, number)
	if c.callBackForwarded = false; c.conn.Closed() {
		return
	}
	c.respond(status, "", nil)
	f.loop.After(0, func() { c.OnData(c.conn) }) // the next one may be in the buffer
}

// HandleForwardedCallBack takes a call-back that the other process got. If nobody knows it, calling again
// would not help.
func (f *Front) HandleForwardedCallBack(body []byte) { f.handleCallBack(body) }

// openElsewhere says that the other process has a transaction of this id open.
func (f *Front) openElsewhere(id string) bool {
	if _, open := f.peerRequests[id]; open || f.adopted[id] != nil {
		return true
	}
	if f.peer != nil {
		f.peer.RequestBegun(id)
	}
	return false
}

// AddPeerRequests takes the ids of transactions that are open at the other process.
func (f *Front) AddPeerRequests(ids []string) {
	if f.peerRequests == nil {
		f.peerRequests = map[string]struct{}{}
	}
	for _, id := range ids {
		f.peerRequests[id] = struct{}{}
	}
}

// SetPeerProcess says whether another process of this node is there, whom the limits are for as
// well, and who may be told what.
func (f *Front) SetPeerProcess(with PeerProcess) {
	if f.peer, f.limitsShared = with, with != nil; with == nil {
		f.peerRequests = nil
		for n := range f.forwarded {
			f.respondForwarded(n, 503) // the next hop calls again, and finds us alone
		}
	}
	f.listener.SetLimits(f.listenerLimits())
}

// Drained says that there is no client whom this process owes anything.
func (f *Front) Drained() bool {
	if f.broker.PendingCount() > 0 {
		return false
	}
	for c := range f.clients {
		if !c.isWorker && (c.awaitsResponse || c.conn.UnsentBytes() > 0 || c.conn.HasPendingInput()) {
			return false
		}
	}
	return true
}

// StopAccepting has the other process accept from here on, and sends the clients to it.
func (f *Front) StopAccepting() {
	f.listener.SetSuspended(true)
	f.drain.HandOver()
	for _, h := range f.workers {
		h.CloseIdle()
	}
	f.closeIdleClients()
}

// ResumeAccepting has this process accept again.
func (f *Front) ResumeAccepting() {
	f.drain.AbortHandOver()
	f.listener.SetSuspended(false)
}

// ListenerFD is the listening socket.
func (f *Front) ListenerFD() int { return f.listener.FD() }

// CurrentList is the list as it was heard last, and its generation.
func (f *Front) CurrentList() (int64, json.RawMessage, error) {
	lines := f.initial.unconfirmedWorkers()
	for _, l := range f.entries {
		lines = append(lines, l)
	}
	raw, err := json.Marshal(lines)
	return f.directory.generations.Generation, raw, err
}

// WorkerStarts are the workers' starts, as they are known here.
func (f *Front) WorkerStarts() map[string]hotrestart.WorkerStart {
	starts := make(map[string]hotrestart.WorkerStart, len(f.startTimes.known))
	for name, s := range f.startTimes.known {
		starts[name] = hotrestart.WorkerStart{Reported: s.reported, At: s.at}
	}
	return starts
}

// DiscoveryAddresses is the address of discovery, and the one that the file gave last.
func (f *Front) DiscoveryAddresses() (address, written string) {
	return f.cfg.DiscoveryAddress, f.cfg.configuredDiscovery
}

// InheritDiscovery has a process that takes another's place ask where that one asks.
//
// Hazard: the variable that comes first at a start names the address of before a reload.
// A file that was changed since is newer than both.
func (c *Config) InheritDiscovery(address, written string) {
	if c.configuredDiscovery == written && address != "" {
		c.DiscoveryAddress = address
	}
}

// OpenInherited is Open for a process that takes another one's place: with that one's listening socket and
// state, whose times are by this one's clock, and what its core has told.
func (f *Front) OpenInherited(c *broker.Broker, fd int, s *hotrestart.State, p broker.ProcessState) error {
	known := workerList{Generation: s.Generation, Full: true}
	if err := json.Unmarshal(s.Instances, &known.Workers); err != nil {
		return err
	}
	f.startTimes.restore(s.WorkerStarts)
	f.cfg.InitialList, f.directory.generations.Generation = known, s.Generation
	f.broker, f.limitsShared = c, true
	f.updateEndpoints(balancer.ListCached, &f.cfg.InitialList)
	c.ImportState(p)
	var err error
	f.listener, err = f.loop.ListenFD(fd, f.listenerLimits(), f.onAccept)
	f.directory.open()
	return err
}
