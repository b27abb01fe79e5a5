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
	// unlinkedPeerTimeout is how long another process may share the address without a link to this one. The
	// platform ends that process about 10 s after this one's start.
	unlinkedPeerTimeout = 10 * time.Second

	// forwardTimeout is how long the other process may take to handle a forwarded call-back. After that the
	// worker gets a 503 and calls again, as it does without a response.
	forwardTimeout = time.Second
)

// PeerProcess is the other process of this node during a hot restart: its parent or its child.
type PeerProcess interface {
	// ForwardCallBack forwards a call-back. CallBackHandled is called with the same number once the other
	// process has handled it.
	ForwardCallBack(number uint64, body []byte)
	// RequestBegun reports a request that begins here, so that the other process rejects the same id.
	RequestBegun(id string)
}

// peerState is the Front's state that concerns the other process of the node.
type peerState struct {
	peer                PeerProcess // nil: none
	limitsShared        bool        // both processes share the limits
	lastForwardedNumber uint64
	forwarded           map[uint64]forwardedCallBack // call-backs not confirmed by the other process yet
	peerRequests        map[string]struct{}          // ids of open requests of the other process

	unlinkedPeerUntil time.Duration // until when an unlinked process may share the address
}

// forwardedCallBack is a call-back that was forwarded to the other process.
type forwardedCallBack struct {
	from *client // the worker's connection
	body []byte
}

// ExpectUnlinkedPeer records that another process of the node, with which this one has no link, may share the
// address for some time.
func (f *Front) ExpectUnlinkedPeer() { f.unlinkedPeerUntil = f.loop.Now() + unlinkedPeerTimeout }

// forwardCallBack forwards a call-back that belongs to no attempt of this process, and reports whether there
// is another process to forward it to. Workers call back at the shared address, and the connection may be
// accepted by the process that did not start the attempt.
//
// The worker gets its response only after the other process has handled the call-back; otherwise the result
// would be lost if that process died before it received it.
func (f *Front) forwardCallBack(c *client, body []byte) bool {
	if f.peer == nil {
		return false
	}
	f.lastForwardedNumber++
	n := f.lastForwardedNumber
	f.forwarded[n], c.callBackForwarded = forwardedCallBack{c, body}, true
	f.peer.ForwardCallBack(n, body)
	f.loop.After(forwardTimeout, func() { f.respondForwarded(n, 503) })
	return true
}

// CallBackHandled responds to a forwarded call-back that the other process has handled or does not know
// either. In both cases the worker need not call again.
//
// The other process may have migrated the request here before it received the call-back. The request was then
// adopted before this confirmation arrived, and the call-back is applied here.
func (f *Front) CallBackHandled(number uint64) {
	var cb callBack
	if forwarded, ok := f.forwarded[number]; ok && json.Unmarshal(forwarded.body, &cb) == nil {
		f.handleAdoptedCallBack(&cb)
	}
	f.respondForwarded(number, 204)
}

// respondForwarded responds to the worker whose call-back was forwarded under the number, if it still waits.
func (f *Front) respondForwarded(number uint64, status int) {
	forwarded, ok := f.forwarded[number]
	if !ok {
		return
	}
	c := forwarded.from
	delete(f.forwarded, number)
	if c.callBackForwarded = false; c.conn.Closed() {
		return
	}
	c.respond(status, "", nil)
	f.loop.After(0, func() { c.OnData(c.conn) }) // the next request may be in the buffer
}

// HandleForwardedCallBack handles a call-back that the other process received. If it belongs to no attempt
// here either it is dropped, since a repetition would not help.
func (f *Front) HandleForwardedCallBack(body []byte) { f.handleCallBack(body) }

// openElsewhere reports whether the request is open in the other process or was adopted from it. If neither,
// it notifies the other process that the request begins here.
func (f *Front) openElsewhere(id string) bool {
	if _, open := f.peerRequests[id]; open || f.adopted[id] != nil {
		return true
	}
	if f.peer != nil {
		f.peer.RequestBegun(id)
	}
	return false
}

// AddPeerRequests adds the ids of requests that are open in the other process. This process rejects new
// requests with these ids.
func (f *Front) AddPeerRequests(ids []string) {
	if f.peerRequests == nil {
		f.peerRequests = map[string]struct{}{}
	}
	for _, id := range ids {
		f.peerRequests[id] = struct{}{}
	}
}

// SetPeerProcess sets the other process of this node, which then shares the limits; nil: it has ended.
func (f *Front) SetPeerProcess(peer PeerProcess) {
	if f.peer, f.limitsShared = peer, peer != nil; peer == nil {
		f.peerRequests = nil
		for n := range f.forwarded {
			f.respondForwarded(n, 503) // the worker calls again, and reaches this process
		}
	}
	f.listener.SetLimits(f.listenerLimits())
}

// Drained reports whether no client waits for a response from this process or has input that is not handled
// yet.
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

// StopAccepting leaves new connections to the other process, and closes idle connections so that their
// clients reconnect there.
func (f *Front) StopAccepting() {
	f.listener.SetSuspended(true)
	f.drain.BeginTakeover()
	for _, w := range f.workers {
		w.closeIdle()
	}
	f.closeIdleClients()
}

// ResumeAccepting accepts connections again after StopAccepting, when the other process has ended.
func (f *Front) ResumeAccepting() {
	f.drain.AbortTakeover()
	f.listener.SetSuspended(false)
}

// ListenerFD returns the descriptor of the listening socket.
func (f *Front) ListenerFD() int { return f.listener.FD() }

// CurrentList returns the workers of the current endpoint list, in discovery's format, and its generation. It
// includes a configured list that still waits for discovery.
func (f *Front) CurrentList() (generation int64, list json.RawMessage, err error) {
	entries := f.initial.unconfirmedWorkers()
	for _, e := range f.entries {
		entries = append(entries, e)
	}
	list, err = json.Marshal(entries)
	return f.discovery.generations.Generation, list, err
}

// WorkerStarts returns the known start times of workers, by worker id.
func (f *Front) WorkerStarts() map[string]hotrestart.WorkerStart {
	starts := make(map[string]hotrestart.WorkerStart, len(f.startTimes.known))
	for name, s := range f.startTimes.known {
		starts[name] = hotrestart.WorkerStart{Reported: s.reported, At: s.at}
	}
	return starts
}

// DiscoveryAddresses returns the address of discovery in use, and the address last read from the file.
func (f *Front) DiscoveryAddresses() (address, configured string) {
	return f.cfg.DiscoveryAddress, f.cfg.configuredDiscovery
}

// OpenInherited opens the front of a process that replaces another one, with the other's listening socket and
// state. Times in the state must refer to this process's clock (see hotrestart.State.RebaseTimes).
func (f *Front) OpenInherited(b *broker.Broker, listenerFD int, s *hotrestart.State,
	p broker.ProcessState) error {
	list := workerList{Generation: s.Generation, Full: true}
	if err := json.Unmarshal(s.Instances, &list.Workers); err != nil {
		return fmt.Errorf("decoding the inherited endpoint list: %w", err)
	}
	f.startTimes.restore(s.WorkerStarts)
	f.cfg.InitialList, f.discovery.generations.Generation = list, s.Generation
	f.broker, f.limitsShared = b, true
	f.updateEndpoints(balancer.ListCached, &f.cfg.InitialList)
	b.ImportState(p)
	var err error
	f.listener, err = f.loop.ListenFD(listenerFD, f.listenerLimits(), f.onAccept)
	f.discovery.open()
	return err
}
