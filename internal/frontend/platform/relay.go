package platform

import (
	"encoding/json"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/hotrestart"
)

// Beside is the other process of this node, while one takes the other's place.
type Beside interface {
	// Relay passes a call-back on; Heard tells what has become of it, by the number.
	Relay(number uint64, body []byte)
	// Begun tells of a transaction that the other must not begin, too.
	Begun(id string)
}

// relays is what passes between this process and the one beside it.
type relays struct {
	beside  Beside // nil: there is none
	shared  bool   // the limits are for both
	number  uint64
	waiting map[uint64]*client  // next hops whose call-back is with the other
	theirs  map[string]struct{} // transactions that are open there

	strangerUntil time.Duration // there may be one that can't be spoken to
}

// strange is how long a process that can't be spoken to may share the address: the
// platform ends it some 10 s after this one's start.
const strange = 10 * time.Second

// Stranger says that another process of the node may be there, and can't be spoken to.
func (f *Front) Stranger() { f.strangerUntil = f.loop.Now() + strange }

// relaying is how long the other process may take over a call-back. The next hop calls
// again after that, as it does when nobody answers.
const relaying = time.Second

// relay passes a call-back that is for no branch of ours to the other process, and
// reports whether there is one. A next hop calls the shared address, and whoever accepts
// may not be the one whose attempt it is.
//
// Hazard: to answer before the other has it loses the result if that one dies meanwhile.
func (f *Front) relay(c *client, body []byte) bool {
	if f.beside == nil {
		return false
	}
	f.number++
	n := f.number
	f.waiting[n], c.relayed = c, true
	f.beside.Relay(n, body)
	f.loop.After(relaying, func() { f.heard(n, 503) })
	return true
}

// Heard tells that the other process has taken a call-back, or knows nothing of it either:
// calling again would not help.
func (f *Front) Heard(number uint64) { f.heard(number, 204) }

func (f *Front) heard(number uint64, status int) {
	c := f.waiting[number]
	if c == nil {
		return
	}
	delete(f.waiting, number)
	if c.relayed = false; c.conn.Closed() {
		return
	}
	c.respond(status, "", nil)
	f.loop.After(0, func() { c.Data(c.conn) }) // the next one may be in the buffer
}

// Called takes a call-back that the other process got. If nobody knows it, calling again
// would not help.
func (f *Front) Called(body []byte) { f.event(body) }

// elsewhere says that the other process has a transaction of this id open.
func (f *Front) elsewhere(id string) bool {
	if _, open := f.theirs[id]; open || f.fosters[id] != nil {
		return true
	}
	if f.beside != nil {
		f.beside.Begun(id)
	}
	return false
}

// Theirs takes the ids of transactions that are open at the other process.
func (f *Front) Theirs(ids []string) {
	if f.theirs == nil {
		f.theirs = map[string]struct{}{}
	}
	for _, id := range ids {
		f.theirs[id] = struct{}{}
	}
}

// Share says whether another process of this node is there, whom the limits are for as
// well, and who may be told what.
func (f *Front) Share(with Beside) {
	if f.beside, f.shared = with, with != nil; with == nil {
		f.theirs = nil
		for n := range f.waiting {
			f.heard(n, 503) // the next hop calls again, and finds us alone
		}
	}
	f.listener.Limit(f.limits())
}

// Alone says that there is no client whom this process owes anything.
func (f *Front) Alone() bool {
	if f.core.Waiting() > 0 {
		return false
	}
	for c := range f.clients {
		if !c.hop && (c.waits || c.conn.Unsent() > 0 || c.conn.Pending()) {
			return false
		}
	}
	return true
}

// LetGo has the other process accept from here on, and sends the clients to it.
func (f *Front) LetGo() {
	f.listener.Hold(true)
	f.drain.Hand()
	for _, h := range f.hops {
		h.CloseIdle()
	}
	f.sweep()
}

// TakeBack has this process accept again.
func (f *Front) TakeBack() {
	f.drain.TakeBack()
	f.listener.Hold(false)
}

// Socket is the listening socket.
func (f *Front) Socket() int { return f.listener.FD() }

// List is the list as it was heard last, and its generation.
func (f *Front) List() (int64, json.RawMessage, error) {
	lines := f.start.unconfirmed()
	for _, l := range f.lines {
		lines = append(lines, l)
	}
	raw, err := json.Marshal(lines)
	return f.dir.told.Generation, raw, err
}

// Starts are the workers' starts, as they are known here.
func (f *Front) Starts() map[string]hotrestart.Start {
	starts := make(map[string]hotrestart.Start, len(f.starts.known))
	for name, s := range f.starts.known {
		starts[name] = hotrestart.Start{Said: s.said, At: s.at}
	}
	return starts
}

// Discovery is the address of discovery, and the one that the file gave last.
func (f *Front) Discovery() (address, written string) { return f.cfg.Discovery, f.cfg.written }

// GoBy has a process that takes another's place ask where that one asks.
//
// Hazard: the variable that comes first at a start names the address of before a reload.
// A file that was changed since is newer than both.
func (c *Config) GoBy(address, written string) {
	if c.written == written && address != "" {
		c.Discovery = address
	}
}

// OpenOn is Open for a process that takes another one's place: with that one's listening socket and state,
// whose times are by this one's clock, and what its core has told.
func (f *Front) OpenOn(c *broker.Core, fd int, s *hotrestart.State, p broker.Passed) error {
	known := routeSet{Generation: s.Generation, Reset: true}
	if err := json.Unmarshal(s.Instances, &known.Instances); err != nil {
		return err
	}
	f.starts.recall(s.Starts)
	f.cfg.Known, f.dir.told.Generation = known, s.Generation
	f.core, f.shared = c, true
	f.tell(balancer.Cached, &f.cfg.Known)
	c.Recall(p)
	var err error
	f.listener, err = f.loop.ListenOn(fd, f.limits(), f.accept)
	f.dir.open()
	return err
}
