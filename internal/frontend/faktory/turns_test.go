package faktory

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"moorstack/internal/netio/eventloop"
)

// Guards against clients that send many commands at once and so keep the event loop, which all fronts share,
// from everything else: timers fire on time meanwhile, and every command gets its reply, in order.
func TestManyCommandsAtOnceDoNotHoldUpTheLoop(t *testing.T) {
	const connections, commands = 60, 400
	const maxDelay = 250 * time.Millisecond // all commands of one round take longer
	e := newTestFront(t)
	e.onLoop(func() {
		e.front.listener.SetLimits(eventloop.Limits{MaxConnections: connections + 1,
			MaxBufferBytes: 16 << 20})
	})
	stop := make(chan struct{})
	longest := make(chan time.Duration, 1)
	e.onLoop(func() { observeDelay(e.loop, stop, longest) })
	flood := strings.Repeat("INFO\r\n", commands)
	failures := make(chan error, connections)
	for range connections {
		go func() { failures <- floodFront(e.address, flood, commands) }()
	}
	for range connections {
		if err := <-failures; err != nil {
			t.Error(err)
		}
	}
	close(stop)
	delay := <-longest
	t.Logf("longest delay of a timer: %v", delay)
	if delay > maxDelay {
		t.Errorf("a timer fired %v late, want at most %v", delay, maxDelay)
	}
}

// observeDelay measures how late a timer of 1 ms fires at the most, until stop is closed.
func observeDelay(loop *eventloop.Loop, stop chan struct{}, longest chan time.Duration) {
	const interval = time.Millisecond
	most := time.Duration(0)
	var tick func()
	tick = func() {
		due := loop.Now() + interval
		loop.At(due, func() {
			most = max(most, loop.Now()-due)
			select {
			case <-stop:
				longest <- most
			default:
				tick()
			}
		})
	}
	tick()
}

// floodFront sends commands at once on a new connection, four times, and reads their replies.
func floodFront(address, flood string, commands int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	in := bufio.NewReader(c)
	if _, err := in.ReadString('\n'); err != nil { // +HI
		return err
	}
	if _, err := fmt.Fprint(c, "HELLO {\"v\":2}\r\n"); err != nil {
		return err
	}
	if _, err := in.ReadString('\n'); err != nil {
		return err
	}
	for range 4 {
		if _, err := fmt.Fprint(c, flood); err != nil {
			return err
		}
		for range commands {
			if head, err := in.ReadString('\n'); err != nil || head[0] != '$' {
				return fmt.Errorf("reply %q, %w", head, err)
			}
			if _, err := in.ReadString('\n'); err != nil {
				return err
			}
		}
	}
	return nil
}
