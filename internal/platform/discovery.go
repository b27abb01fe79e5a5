package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"moorstack/brain"
	"moorstack/internal/net"
)

const (
	members = "/catalog/members"

	// silence is when a watch is taken for dead: a blank line is due every 2 s, and a
	// machine that vanished leaves its connections open and says nothing. News counts as
	// told 6 s late, and asking anew takes its time too.
	silence = 4500 * time.Millisecond
	// longest is the longest line of a watch that is taken in.
	longest = 4 << 20
)

// directory asks discovery for the route set.
type directory struct {
	front      *Front
	generation int64
	wanted     bool // the core wants a watch
	watch      *call
	fed        bool // another instance asks, and gives the list to this one
	// passOn is told what discovery says, as it says it; nil: nobody is.
	passOn func(generation int64, whole bool, text []byte)
}

// Watch begins to watch, or stops. One that is under way goes on: the core may ask for
// another after a failure that a move of discovery has mended meanwhile.
func (d *directory) Watch(on bool) {
	if d.wanted = on; on && d.watch == nil && !d.fed {
		d.begin()
	} else if !on {
		d.end()
	}
}

// begin takes up where the last news ended: what was told meanwhile comes first.
func (d *directory) begin() {
	d.watch = d.ask(fmt.Sprintf("%s?stream=1&index=%d", members, d.generation))
}

func (d *directory) end() {
	if d.watch != nil {
		d.watch.close()
		d.watch = nil
	}
}

// moved leaves the old address at once, and does not wait for the core to ask again:
// the old one closes its watches only after a while, and its news may end before.
func (d *directory) moved() {
	d.end()
	if d.wanted && !d.fed {
		d.begin()
	}
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
	} else if d.wanted && d.watch == nil {
		d.begin()
	}
}

// Watched says whether discovery is watched from here, has spoken, and has told a list. Called on the
// loop.
//
// Hazard: one that has just started has no list, and would pass that on as one without workers.
func (f *Front) Watched() bool {
	d := f.dir
	return d.watch != nil && !d.watch.ended && d.watch.in.HeadDone() && d.generation > 0
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
	f.dir.take(&set)
	return nil
}

// WholeList is the list as it stands here, in discovery's words, and its generation. Called on the
// loop.
func (f *Front) WholeList() (generation int64, text []byte, err error) {
	set := routeSet{Generation: f.dir.generation, Reset: true, Instances: []line{}}
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
	conn  *net.Conn
	in    net.Parser
	line  []byte // of which the end has not come yet
	timer *net.Timer
	ended bool
}

var _ net.Handler = (*call)(nil)

func (d *directory) ask(target string) *call {
	c := &call{dir: d, in: net.Parser{Response: true, Stream: true}}
	conn, err := d.front.loop.Dial(d.front.cfg.Discovery, c)
	if err != nil {
		d.front.loop.After(0, func() { c.fail(err) }) // not from within the core's call
		return c
	}
	c.conn = conn
	c.conn.Write(net.AppendRequest(nil, "GET", target, d.front.cfg.Discovery, "", nil))
	c.alive()
	return c
}

// alive puts off the time at which the call is taken for dead.
func (c *call) alive() {
	c.timer.Stop()
	c.timer = c.dir.front.loop.After(silence, func() { c.fail(errors.New("discovery is silent")) })
}

func (c *call) Up(*net.Conn) {}

// Data takes in what has come.
func (c *call) Data(*net.Conn) {
	c.alive()
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
		c.line = append(c.line, body...)
		c.conn.Use(n)
	}
	if len(c.line) > longest {
		c.fail(errors.New("discovery sends a line without end"))
		return
	}
	if c.lines(whole); whole {
		c.over()
	}
}

// lines takes whole lines; the last one of a body may lack its end.
func (c *call) lines(whole bool) {
	rest := c.line
	for !c.ended {
		line, after, ok := bytes.Cut(rest, []byte("\n"))
		if !ok {
			break
		}
		c.news(line)
		rest = after
	}
	if whole && !c.ended {
		c.news(rest)
		rest = nil
	}
	c.line = append(c.line[:0], rest...)
}

func (c *call) news(text []byte) {
	if text = bytes.TrimSpace(text); len(text) == 0 {
		return // the line that says that nothing has changed
	}
	var set routeSet
	if err := json.Unmarshal(text, &set); err != nil {
		c.fail(fmt.Errorf("discovery's list: %w", err))
		return
	}
	c.dir.take(&set)
	if c.dir.passOn != nil {
		c.dir.passOn(set.Generation, set.Reset, text)
	}
}

func (d *directory) take(set *routeSet) {
	kind := brain.Changes
	if set.Reset {
		kind = brain.Whole
	}
	d.generation = set.Generation
	d.front.tell(kind, set)
}

// over is the end of an answer: a list's right end, a watch's failure.
func (c *call) over() {
	if c == c.dir.watch {
		c.fail(errors.New("the watch has ended"))
		return
	}
	c.close()
}

func (c *call) Ended(_ *net.Conn, err error) {
	if !c.ended && c.in.Ended() {
		c.lines(true)
		c.over()
		return
	}
	c.fail(err)
}

// fail tells the core that a call has failed, once.
func (c *call) fail(err error) {
	if c.ended {
		return
	}
	c.close()
	if c.dir.watch == c {
		c.dir.watch = nil
	}
	c.dir.front.log.WithError(err).Warn("a call of discovery has failed")
	c.dir.front.core.RouteSet(brain.Failed, nil)
}

func (c *call) close() {
	c.ended = true
	c.timer.Stop()
	if c.conn != nil {
		c.conn.Close()
	}
}
