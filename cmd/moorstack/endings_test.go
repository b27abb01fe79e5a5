package main

import (
	"testing"
	"time"
)

// A process that comes back has the list of its configuration, which may be long past: until discovery has
// spoken it is not ready, and requests wait for the list and go by it.
func TestRequestBeforeTheFirstList(t *testing.T) {
	t.Parallel()
	w := newWorldSaying(t, nil, 2, done)
	w.dial().send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").want(503, "")
	c := w.dial().send(job("a", "quote", "4000m", "x"))
	watch := <-w.watches
	time.Sleep(300 * time.Millisecond)
	if n := w.calls("POST"); n != 0 {
		t.Fatalf("%d requests are sent by a list that nobody has confirmed", n)
	}
	watch.line <- `{"generation":42,"reset":false,"instances":[` + w.hops[0].line("DRAINING") + `]}`
	c.want(200, "did x")
	if n := w.hops[0].calls(); n != 0 {
		t.Errorf("%d requests are sent to a worker that was drained before the start", n)
	}
}
