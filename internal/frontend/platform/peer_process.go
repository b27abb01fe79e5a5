package platform

import (
	"encoding/json"
	"fmt"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/hotrestart"
)

const (
	// unknownPeerSpan is how long a process with which this one has no link may share the address: the
	// platform ends it some 10 s after this one's start.
	unknownPeerSpan = 10 * time.Second

	// forwardTimeout is how long the other process may take over a call-back. The worker calls again after
	// that, as it does when nobody responds.
	forwardTimeout = time.Second
)

// PeerProcess is the other process of this node, while one takes the other's place.
type PeerProcess interface {
	// ForwardCallBack passes a call-back on. CallBackHandled is called with the same number once the other
	// process has handled it.
	ForwardCallBack(number uint64, body []byte)
	// RequestBegun notifies it of a request that it must not begin, too.
	RequestBegun(id string)
}

// peerState is what concerns the other process.
type peerState struct {
	peer          PeerProcess // nil: there is none
	limitsShared  bool        // the limits are for both processes
	lastForwarded uint64
	forwarded     map[uint64]*client  // connections of workers whose call-back is with the other process
	peerRequests  map[string]struct{} // ids of requests that are open there

	unknownPeerUntil time.Duration // until when there may be one with which this process has no link
}

// ExpectUnknownPeer records that another process of the node may share the address for some time, though this
// one has no link with it.
func (f *Front) ExpectUnknownPeer() { f.unknownPeerUntil = f.loop.Now() + unknownPeerSpan }

// forwardCallBack passes a call-back that is for no attempt of this process to the other one, and reports
// whether there is one. A worker calls the shared address, and the process that accepts may not be the one
// whose attempt it is.
//
// Hazard: a response before the other process has the call-back loses the result if that process dies
// meanwhile.
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

// CallBackHandled records that the other process has handled a call-back, or knows nothing of it either: in
// both cases the worker need not call again.
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
	f.loop.After(0, func() { c.OnData(c.conn) }) // the next request may be in the buffer
}

// HandleForwardedCallBack handles a call-back that the other process accepted. One that is for no attempt
// here either is dropped: another call would not help.
func (f *Front) HandleForwardedCallBack(body []byte) { f.handleCallBack(body) }

// openElsewhere reports whether the request is open at the other process, or adopted from it. If it is not,
// the other process is notified that it begins here.
func (f *Front) openElsewhere(id string) bool {
	if _, open := f.peerRequests[id]; open || f.adopted[id] != nil {
		return true
	}
	if f.peer != nil {
		f.peer.RequestBegun(id)
	}
	return false
}

// AddPeerRequests adds ids of requests that are open at the other process.
func (f *Front) AddPeerRequests(ids []string) {
	if f.peerRequests == nil {
		f.peerRequests = map[string]struct{}{}
	}
	for _, id := range ids {
		f.peerRequests[id] = struct{}{}
	}
}

// SetPeerProcess sets the other process of this node, which then shares the limits; nil: there is none any
// more.
func (f *Front) SetPeerProcess(peer PeerProcess) {
	if f.peer, f.limitsShared = peer, peer != nil; peer == nil {
		f.peerRequests = nil
		for n := range f.forwarded {
			f.respondForwarded(n, 503) // the worker calls again, and reaches this process
		}
	}
	f.listener.SetLimits(f.listenerLimits())
}

// Drained reports whether no client is owed anything by this process.
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

// StopAccepting leaves new connections to the other process, and has the clients of this one reconnect
// there.
func (f *Front) StopAccepting() {
	f.listener.SetSuspended(true)
	f.drain.BeginTakeover()
	for _, w := range f.workers {
		w.closeIdle()
	}
	f.closeIdleClients()
}

// ResumeAccepting undoes StopAccepting: the other process has ended.
func (f *Front) ResumeAccepting() {
	f.drain.AbortTakeover()
	f.listener.SetSuspended(false)
}

// ListenerFD is the listening socket.
func (f *Front) ListenerFD() int { return f.listener.FD() }

// CurrentList returns the endpoint list as it was received last, in discovery's form, and its generation.
func (f *Front) CurrentList() (generation int64, list json.RawMessage, err error) {
	entries := f.initial.unconfirmedWorkers()
	for _, e := range f.entries {
		entries = append(entries, e)
	}
	list, err = json.Marshal(entries)
	return f.directory.generations.Generation, list, err
}

// WorkerStarts returns when workers started, by their ids, as far as it is known here.
func (f *Front) WorkerStarts() map[string]hotrestart.WorkerStart {
	starts := make(map[string]hotrestart.WorkerStart, len(f.startTimes.known))
	for name, s := range f.startTimes.known {
		starts[name] = hotrestart.WorkerStart{Reported: s.reported, At: s.at}
	}
	return starts
}

// DiscoveryAddresses returns the address of discovery, and the one that the file gave last.
func (f *Front) DiscoveryAddresses() (address, configured string) {
	return f.cfg.DiscoveryAddress, f.cfg.configuredDiscovery
}

// OpenInherited is Open for a process that takes another one's place, with that one's listening socket and
// state. The times in the state must be of this process's clock (hotrestart.State.RebaseTimes).
func (f *Front) OpenInherited(b *broker.Broker, listenerFD int, s *hotrestart.State,
	p broker.ProcessState) error {
	list := workerList{Generation: s.Generation, Full: true}
	if err := json.Unmarshal(s.Instances, &list.Workers); err != nil {
		return fmt.Errorf("the inherited endpoint list: %w", err)
	}
	f.startTimes.restore(s.WorkerStarts)
	f.cfg.InitialList, f.directory.generations.Generation = list, s.Generation
	f.broker, f.limitsShared = b, true
	f.updateEndpoints(balancer.ListCached, &f.cfg.InitialList)
	b.ImportState(p)
	var err error
	f.listener, err = f.loop.ListenFD(listenerFD, f.listenerLimits(), f.onAccept)
	f.directory.open()
	return err
}
