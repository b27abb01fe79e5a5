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
)

const (
	members = "/catalog/members"

	// longest is the longest list, or line of a watch, that is taken in.
	longest = 4 << 20
)

// directory asks discovery for the route set.
type directory struct {
	front  *Front
	rules  discovery.Rules
	told   discovery.Told
	wanted bool // the core wants a watch; a list that is pushed is always wanted
	watch  *call
	fed    bool // another instance asks, and gives the list to this one
	// passOn is told what discovery says, as it says it; nil: nobody is.
	passOn func(generation int64, whole bool, text []byte)

	// Where lists are pushed: the calls that are out beside the watch, the next one, and the answer
	// that was taken last, since most say the same.
	polls  map[*call]struct{}
	next   *eventloop.Timer
	again  *eventloop.Timer // begins the watch anew
	last   []byte
	failed bool // the last call did
}

func newDirectory(f *Front) *directory {
	s := &f.cfg.Settings
	return &directory{front: f, polls: map[*call]struct{}{},
		told: discovery.Told{Generation: f.cfg.Known.Generation},
		rules: discovery.Rules{Pushed: s.MembershipMode == "pushed", Grace: time.Duration(s.Contract.DrainGrace),
			Me: s.Me, Fleet: s.Fleet}}
}

// open begins to follow a list that is pushed. One that must be asked for waits for the core's word.
//
// Hazard: the module asks for nothing where lists are pushed, and the simulator pushes unasked. Here
// somebody has to open the watch.
func (d *directory) open() {
	if d.rules.Pushed {
		d.wanted = true
		d.follow()
	}
}

// Watch begins to watch, or stops. One that is under way goes on: the core may ask for
// another after a failure that a move of discovery has mended meanwhile.
func (d *directory) Watch(on bool) {
	if d.wanted = on; on {
		d.follow()
	} else {
		d.end()
	}
}

// follow has a watch open, and calls beside it where lists are pushed.
func (d *directory) follow() {
	if !d.wanted || d.fed {
		return
	}
	d.again.Stop()
	if d.watch == nil {
		// Take up where the last news ended: what was told meanwhile comes first.
		d.watch = d.ask(fmt.Sprintf("%s?stream=1&index=%d", members, d.told.Generation))
	}
	if d.rules.Pushed && d.next == nil {
		d.poll()
	}
}

// poll asks the agent for the whole list, and again after a while, whatever becomes of this call.
//
// Hazard: a watch that is open and deaf says nothing of a drain, and what the agent has counts as told.
func (d *directory) poll() {
	d.polls[d.ask(members)] = struct{}{}
	d.next = d.front.loop.After(d.rules.Every(), d.poll)
}

func (d *directory) end() {
	d.next.Stop()
	d.again.Stop()
	d.next, d.last = nil, nil
	for c := range d.polls {
		c.close()
	}
	clear(d.polls)
	if d.watch != nil {
		d.watch.close()
		d.watch = nil
	}
}

// moved leaves the old address at once, and does not wait for the core to ask again:
// the old one closes its watches only after a while, and its news may end before.
func (d *directory) moved() {
	d.end()
	d.told.Moved(d.front.loop.Now())
	d.follow()
}

// Fed says whether another instance gives this one the list: then it asks discovery for nothing.
// Called on the loop.
func (f *Front) Fed(on bool) {
	d := f.dir
	if d.fed == on {
		return
	}
	if d.fed = on; on {
		d.end()
	} else {
		d.follow()
	}
}

// Watched says whether discovery is watched from here, has spoken, and has told a list. Called on the
// loop.
//
// Hazard: one that has just started has no list, and would pass that on as one without workers.
func (f *Front) Watched() bool {
	d := f.dir
	return d.watch != nil && !d.watch.ended && d.watch.in.HeadDone() && d.told.Generation > 0 &&
		!f.start.pending
}

// PassOn has what discovery says be told as it says it. Called on the loop, as is the function.
func (f *Front) PassOn(tell func(generation int64, whole bool, text []byte)) { f.dir.passOn = tell }

// Take takes over a list, or a change of it, that discovery has told another instance. Called on
// the loop.
func (f *Front) Take(text []byte) error {
	var set routeSet
	if err := json.Unmarshal(text, &set); err != nil {
		return fmt.Errorf("a list that was passed on: %w", err)
	}
	// Who passes it on has taken it already, in its order.
	f.dir.told.Generation = set.Generation
	f.dir.take(&set)
	return nil
}

// WholeList is the list as it stands here, in discovery's words, and its generation. Called on the
// loop.
func (f *Front) WholeList() (generation int64, text []byte, err error) {
	set := routeSet{Generation: f.dir.told.Generation, Reset: true, Instances: []line{}}
	for _, id := range slices.Sorted(maps.Keys(f.lines)) {
		set.Instances = append(set.Instances, f.lines[id])
	}
	text, err = json.Marshal(set)
	return set.Generation, text, err
}

// Fetch asks for the whole list once. One that is given it has it already: the core asks for the
// sake of a watch that may be deaf, and here each beat says that nothing was missed.
func (d *directory) Fetch() {
	if !d.fed {
		d.ask(members)
		return
	}
	d.front.loop.After(0, func() { // not from within the core's call
		if _, text, err := d.front.WholeList(); err == nil {
			_ = d.front.Take(text)
		}
	})
}

// call is a call of discovery: a list, or a watch's lines.
type call struct {
	dir   *directory
	conn  *eventloop.Conn
	in    eventloop.Parser
	text  []byte // of which the end has not come yet
	began time.Duration
	timer *eventloop.Timer
	ended bool
}

var _ eventloop.Handler = (*call)(nil)

func (d *directory) ask(target string) *call {
	c := &call{dir: d, in: eventloop.Parser{Response: true, Stream: true}, began: d.front.loop.Now()}
	conn, err := d.front.loop.Dial(d.front.cfg.Discovery, c)
	if err != nil {
		d.front.loop.After(0, func() { c.fail(err) }) // not from within the core's call
		return c
	}
	c.conn = conn
	c.conn.Write(eventloop.AppendRequest(nil, "GET", target, d.front.cfg.Discovery, "", nil))
	c.alive()
	return c
}

// alive puts off the time at which the call is taken for dead.
//
// Hazard: a list that never ends, or drips, keeps a call alive that tells nothing. So the call has to
// say something whole.
func (c *call) alive() {
	d := c.dir
	limit := d.rules.Patience()
	if c == d.watch && c.in.HeadDone() {
		limit = d.rules.Silence()
	}
	c.timer.Stop()
	c.timer = d.front.loop.After(limit, c.silent)
}

// silent gives up a call that says nothing. A watch that has spoken is begun anew at once.
//
// Hazard: what a watch that fell silent misses counts as told soon, heard or not. The core's pause before
// it asks again is for discovery that is down, and is too long here.
func (c *call) silent() {
	d := c.dir
	if c != d.watch || !c.in.HeadDone() {
		c.fail(errors.New("discovery is silent"))
		return
	}
	c.close()
	d.watch = nil
	d.front.log.Warn("discovery's watch has fallen silent, and is begun anew")
	d.follow()
}

func (c *call) Up(*eventloop.Conn) {}

// Data takes in what has come.
func (c *call) Data(*eventloop.Conn) {
	headDone := c.in.HeadDone()
	whole, err := c.in.Feed(c.conn.In())
	if err == nil && c.in.HeadDone() && c.in.Status != 200 {
		err = fmt.Errorf("discovery answers %d", c.in.Status)
	}
	if err != nil {
		c.fail(err)
		return
	}
	if c.in.HeadDone() {
		body, n := c.in.Take(c.conn.In())
		c.text = append(c.text, body...)
		c.conn.Use(n)
		if !headDone {
			c.alive()
		}
	}
	if len(c.text) > longest {
		c.fail(errors.New("discovery sends a list without end"))
		return
	}
	c.values(whole)
	if whole && !c.ended {
		c.over()
	}
}

// values takes the whole lists that have come; whole: there will be no more.
//
// Hazard: a list may be indented, over many lines, so that a line's end is not a list's.
func (c *call) values(whole bool) {
	if len(c.text) == 0 {
		return
	}
	same := c.dir.last != nil && c != c.dir.watch && whole && bytes.Equal(c.text, c.dir.last)
	if same {
		c.text = c.text[:0]
		c.dir.well()
		return
	}
	in := json.NewDecoder(bytes.NewReader(c.text))
	used := 0
	for !c.ended {
		var h heard
		var set *routeSet
		err := in.Decode(&h)
		if err == io.EOF { // what is left is blank: nothing has changed
			used = len(c.text)
			c.alive()
			if c == c.dir.watch {
				c.dir.front.start.confirm()
				c.dir.front.starts.confirm(c.dir.front.loop.Now())
			}
			break
		}
		if err == io.ErrUnexpectedEOF && !whole {
			break
		}
		if err == nil {
			set, err = h.list()
		}
		if err != nil {
			c.fail(fmt.Errorf("discovery's list: %w", err))
			return
		}
		text := bytes.TrimSpace(c.text[used:in.InputOffset()])
		used = int(in.InputOffset())
		c.alive()
		c.news(set, text)
	}
	if c.ended {
		return
	}
	c.text = append(c.text[:0], c.text[used:]...)
}

func (c *call) news(set *routeSet, text []byte) {
	d := c.dir
	if err := d.told.Take(d.front.loop.Now(), c.began, set.Generation); err != nil {
		c.fail(err)
		return
	}
	d.well()
	if c != d.watch {
		d.last = append(d.last[:0], text...)
	}
	d.take(set)
	if d.passOn != nil {
		d.passOn(set.Generation, set.Reset, text)
	}
}

func (d *directory) take(set *routeSet) {
	d.front.start.release()
	kind := balancer.Changes
	if set.Reset {
		kind = balancer.Whole
	}
	d.front.tell(kind, set)
	d.front.starts.confirm(d.front.loop.Now())
}

// over is the end of an answer: a list's right end, a watch's failure.
func (c *call) over() {
	if c == c.dir.watch {
		c.fail(errors.New("the watch has ended"))
		return
	}
	c.close()
	delete(c.dir.polls, c)
}

func (c *call) Ended(_ *eventloop.Conn, err error) {
	if !c.ended && c.in.Ended() {
		if c.values(true); !c.ended {
			c.over()
		}
		return
	}
	c.fail(err)
}

// well notes that discovery has spoken.
func (d *directory) well() { d.failed = false }

// fail notes that a call has failed, once. Where the list must be asked for, the core says when to ask
// again; an agent beside the node is asked again soon.
func (c *call) fail(err error) {
	if c.ended {
		return
	}
	c.close()
	d := c.dir
	delete(d.polls, c)
	if d.watch == c {
		d.watch = nil
	}
	if d.rules.Pushed {
		if !d.failed { // it is asked often: once is enough for the log
			d.front.log.WithError(err).Warn("a call of discovery has failed")
		}
		d.failed = true
		if d.watch == nil {
			d.again.Stop()
			d.again = d.front.loop.After(d.rules.Every(), d.follow)
		}
		return
	}
	d.front.log.WithError(err).Warn("a call of discovery has failed")
	d.front.core.RouteSet(balancer.Failed, nil)
}

func (c *call) close() {
	c.ended = true
	c.timer.Stop()
	if c.conn != nil {
		c.conn.Close()
	}
}
