package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/cluster/discovery"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/http1"
)

const (
	membersPath = "/catalog/members"

	// maxListBytes is the longest list, or line of a watch, that is taken in.
	maxListBytes = 4 << 20
)

// directory asks discovery for the route set.
type directory struct {
	front       *Front
	policy      discovery.RefreshPolicy
	generations discovery.GenerationTracker
	watchWanted bool // the core wants a watch; a list that is pushed is always wanted
	watch       *discoveryCall
	fedByPeer   bool // another instance asks, and gives the list to this one
	// onUpdate is told what discovery says, as it says it; nil: nobody is.
	onUpdate func(generation int64, whole bool, text []byte)

	// Where lists are pushed: the calls that are out beside the watch, the next one, and the answer
	// that was taken last, since most say the same.
	polls          map[*discoveryCall]struct{}
	pollTimer      *eventloop.Timer
	retryTimer     *eventloop.Timer // begins the watch anew
	lastPolled     []byte
	lastCallFailed bool // the last call did
}

func newDirectory(f *Front) *directory {
	s := &f.cfg.Settings
	return &directory{front: f, polls: map[*discoveryCall]struct{}{},
		generations: discovery.GenerationTracker{Generation: f.cfg.InitialList.Generation},
		policy: discovery.RefreshPolicy{
			LocalAgent: s.ListMode == "pushed",
			DrainGrace: time.Duration(s.Rules.DrainGrace),
			NodeIndex:  s.DispatcherIndex,
			FleetSize:  s.DispatcherCount,
		}}
}

// open begins to follow a list that is pushed. One that must be asked for waits for the core's word.
//
// Hazard: the module asks for nothing where lists are pushed, and the simulator pushes unasked. Here
// somebody has to open the watch.
func (d *directory) open() {
	if d.policy.LocalAgent {
		d.watchWanted = true
		d.ensureWatch()
	}
}

// WatchList begins to watch, or stops. One that is under way goes on: the core may ask for
// another after a failure that a move of discovery has mended meanwhile.
func (d *directory) WatchList(on bool) {
	if d.watchWanted = on; on {
		d.ensureWatch()
	} else {
		d.stop()
	}
}

// ensureWatch has a watch open, and calls beside it where lists are pushed.
func (d *directory) ensureWatch() {
	if !d.watchWanted || d.fedByPeer {
		return
	}
	d.retryTimer.Stop()
	if d.watch == nil {
		// Take up where the last news ended: what was told meanwhile comes first.
		d.watch = d.startCall(fmt.Sprintf("%s?stream=1&index=%d", membersPath, d.generations.Generation))
	}
	if d.policy.LocalAgent && d.pollTimer == nil {
		d.poll()
	}
}

// poll asks the agent for the whole list, and again after a while, whatever becomes of this call.
//
// Hazard: a watch that is open and deaf says nothing of a drain, and what the agent has counts as told.
func (d *directory) poll() {
	d.polls[d.startCall(membersPath)] = struct{}{}
	d.pollTimer = d.front.loop.After(d.policy.PollInterval(), d.poll)
}

func (d *directory) stop() {
	d.pollTimer.Stop()
	d.retryTimer.Stop()
	d.pollTimer, d.lastPolled = nil, nil
	for c := range d.polls {
		c.close()
	}
	clear(d.polls)
	if d.watch != nil {
		d.watch.close()
		d.watch = nil
	}
}

// addressChanged leaves the old address at once, and does not wait for the core to ask again:
// the old one closes its watches only after a while, and its news may end before.
func (d *directory) addressChanged() {
	d.stop()
	d.generations.Reset(d.front.loop.Now())
	d.ensureWatch()
}

// SetFedByPeer says whether another instance gives this one the list: then it asks discovery for nothing.
// Called on the loop.
func (f *Front) SetFedByPeer(on bool) {
	d := f.directory
	if d.fedByPeer == on {
		return
	}
	if d.fedByPeer = on; on {
		d.stop()
	} else {
		d.ensureWatch()
	}
}

// WatchesDiscovery says whether discovery is watched from here, has spoken, and has told a list. Called on
// the loop.
//
// Hazard: one that has just started has no list, and would pass that on as one without workers.
func (f *Front) WatchesDiscovery() bool {
	d := f.directory
	return d.watch != nil && !d.watch.closed && d.watch.parser.HeadDone() && d.generations.Generation > 0 &&
		!f.initial.pending
}

// OnListUpdate has what discovery says be told as it says it. Called on the loop, as is the function.
func (f *Front) OnListUpdate(tell func(generation int64, whole bool, text []byte)) {
	f.directory.onUpdate = tell
}

// ApplyList takes over a list, or a change of it, that discovery has told another instance. Called on
// the loop.
func (f *Front) ApplyList(text []byte) error {
	var set workerList
	if err := json.Unmarshal(text, &set); err != nil {
		return fmt.Errorf("a list that was passed on: %w", err)
	}
	// Who passes it on has taken it already, in its order.
	f.directory.generations.Generation = set.Generation
	f.directory.applyUpdate(&set)
	return nil
}

// FullList is the list as it stands here, in discovery's words, and its generation. Called on the
// loop.
func (f *Front) FullList() (generation int64, text []byte, err error) {
	set := workerList{Generation: f.directory.generations.Generation, Full: true, Workers: []workerEntry{}}
	for _, id := range slices.Sorted(maps.Keys(f.entries)) {
		set.Workers = append(set.Workers, f.entries[id])
	}
	text, err = json.Marshal(set)
	return set.Generation, text, err
}

// FetchList asks for the whole list once. One that is given it has it already: the core asks for the
// sake of a watch that may be deaf, and here each beat says that nothing was missed.
func (d *directory) FetchList() {
	if !d.fedByPeer {
		d.startCall(membersPath)
		return
	}
	d.front.loop.After(0, func() { // not from within the core's call
		if _, text, err := d.front.FullList(); err == nil {
			_ = d.front.ApplyList(text)
		}
	})
}

// discoveryCall is a call of discovery: a list, or a watch's lines.
type discoveryCall struct {
	directory *directory
	conn      *eventloop.Conn
	parser    http1.Parser
	unparsed  []byte // of which the end has not come yet
	startedAt time.Duration
	timer     *eventloop.Timer
	closed    bool
}

var _ eventloop.Handler = (*discoveryCall)(nil)

func (d *directory) startCall(target string) *discoveryCall {
	c := &discoveryCall{
		directory: d,
		parser:    http1.Parser{ReadsResponses: true, StreamsBody: true},
		startedAt: d.front.loop.Now(),
	}
	conn, err := d.front.loop.Dial(d.front.cfg.DiscoveryAddress, c)
	if err != nil {
		d.front.loop.After(0, func() { c.fail(err) }) // not from within the core's call
		return c
	}
	c.conn = conn
	c.conn.Write(http1.AppendRequest(nil, "GET", target, d.front.cfg.DiscoveryAddress, "", nil))
	c.resetTimeout()
	return c
}

// resetTimeout puts off the time at which the call is taken for dead.
//
// Hazard: a list that never ends, or drips, keeps a call alive that tells nothing. So the call has to
// say something whole.
func (c *discoveryCall) resetTimeout() {
	d := c.directory
	limit := d.policy.PollTimeout()
	if c == d.watch && c.parser.HeadDone() {
		limit = d.policy.WatchTimeout()
	}
	c.timer.Stop()
	c.timer = d.front.loop.After(limit, c.timedOut)
}

// timedOut gives up a call that says nothing. A watch that has spoken is begun anew at once.
//
// Hazard: what a watch that fell silent misses counts as told soon, heard or not. The core's pause before
// it asks again is for discovery that is down, and is too long here.
func (c *discoveryCall) timedOut() {
	d := c.directory
	if c != d.watch || !c.parser.HeadDone() {
		c.fail(errors.New("discovery is silent"))
		return
	}
	c.close()
	d.watch = nil
	d.front.log.Warn("discovery's watch has fallen silent, and is begun anew")
	d.ensureWatch()
}

func (c *discoveryCall) OnConnect(*eventloop.Conn) {}

// OnData takes in what has come.
func (c *discoveryCall) OnData(*eventloop.Conn) {
	headDone := c.parser.HeadDone()
	whole, err := c.parser.Feed(c.conn.Input())
	if err == nil && c.parser.HeadDone() && c.parser.Status != 200 {
		err = fmt.Errorf("discovery answers %d", c.parser.Status)
	}
	if err != nil {
		c.fail(err)
		return
	}
	if c.parser.HeadDone() {
		body, n := c.parser.TakeBody(c.conn.Input())
		c.unparsed = append(c.unparsed, body...)
		c.conn.Discard(n)
		if !headDone {
			c.resetTimeout()
		}
	}
	if len(c.unparsed) > maxListBytes {
		c.fail(errors.New("discovery sends a list without end"))
		return
	}
	c.parseLists(whole)
	if whole && !c.closed {
		c.completed()
	}
}

// parseLists takes the whole lists that have come; whole: there will be no more.
//
// Hazard: a list may be indented, over many lines, so that a line's end is not a list's.
func (c *discoveryCall) parseLists(whole bool) {
	if len(c.unparsed) == 0 {
		return
	}
	same := c.directory.lastPolled != nil && c != c.directory.watch && whole &&
		bytes.Equal(c.unparsed, c.directory.lastPolled)
	if same {
		c.unparsed = c.unparsed[:0]
		c.directory.callSucceeded()
		return
	}
	in := json.NewDecoder(bytes.NewReader(c.unparsed))
	used := 0
	for !c.closed {
		var h receivedList
		var set *workerList
		err := in.Decode(&h)
		if err == io.EOF { // what is left is blank: nothing has changed
			used = len(c.unparsed)
			c.resetTimeout()
			if c == c.directory.watch {
				c.directory.front.initial.confirm()
				c.directory.front.startTimes.confirm(c.directory.front.loop.Now())
			}
			break
		}
		if err == io.ErrUnexpectedEOF && !whole {
			break
		}
		if err == nil {
			set, err = h.validate()
		}
		if err != nil {
			c.fail(fmt.Errorf("discovery's list: %w", err))
			return
		}
		text := bytes.TrimSpace(c.unparsed[used:in.InputOffset()])
		used = int(in.InputOffset())
		c.resetTimeout()
		c.handleList(set, text)
	}
	if c.closed {
		return
	}
	c.unparsed = append(c.unparsed[:0], c.unparsed[used:]...)
}

func (c *discoveryCall) handleList(set *workerList, text []byte) {
	d := c.directory
	if err := d.generations.Accept(d.front.loop.Now(), c.startedAt, set.Generation); err != nil {
		c.fail(err)
		return
	}
	d.callSucceeded()
	if c != d.watch {
		d.lastPolled = append(d.lastPolled[:0], text...)
	}
	d.applyUpdate(set)
	if d.onUpdate != nil {
		d.onUpdate(set.Generation, set.Full, text)
	}
}

func (d *directory) applyUpdate(set *workerList) {
	d.front.initial.release()
	kind := balancer.ListDelta
	if set.Full {
		kind = balancer.ListFull
	}
	d.front.updateEndpoints(kind, set)
	d.front.startTimes.confirm(d.front.loop.Now())
}

// completed is the end of an answer: a list's right end, a watch's failure.
func (c *discoveryCall) completed() {
	if c == c.directory.watch {
		c.fail(errors.New("the watch has ended"))
		return
	}
	c.close()
	delete(c.directory.polls, c)
}

func (c *discoveryCall) OnClose(_ *eventloop.Conn, err error) {
	if !c.closed && c.parser.CompleteAtEOF() {
		if c.parseLists(true); !c.closed {
			c.completed()
		}
		return
	}
	c.fail(err)
}

// callSucceeded notes that discovery has spoken.
func (d *directory) callSucceeded() { d.lastCallFailed = false }

// fail notes that a call has failed, once. Where the list must be asked for, the core says when to ask
// again; an agent beside the node is asked again soon.
func (c *discoveryCall) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	d := c.directory
	delete(d.polls, c)
	if d.watch == c {
		d.watch = nil
	}
	if d.policy.LocalAgent {
		if !d.lastCallFailed { // it is asked often: once is enough for the log
			d.front.log.WithError(err).Warn("a call of discovery has failed")
		}
		d.lastCallFailed = true
		if d.watch == nil {
			d.retryTimer.Stop()
			d.retryTimer = d.front.loop.After(d.policy.PollInterval(), d.ensureWatch)
		}
		return
	}
	d.front.log.WithError(err).Warn("a call of discovery has failed")
	d.front.broker.UpdateEndpoints(balancer.ListUnavailable, nil)
}

func (c *discoveryCall) close() {
	c.closed = true
	c.timer.Stop()
	if c.conn != nil {
		c.conn.Close()
	}
}
