package hotrestart

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/eventloop"
)

// newLoopAndSocketPair returns an event loop and the two ends of a connection.
func newLoopAndSocketPair(t *testing.T) (*eventloop.Loop, [2]int) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	return loop, fds
}

// A message may arrive in several reads, and several messages in one. A malformed message closes the link
// once.
func TestLinkReadsMessagesInAnyPieces(t *testing.T) {
	text := string((&Message{Type: TypeChildServes}).Append(nil)) +
		string((&Message{Type: TypeCallBack, CallBackNumber: 7, Body: []byte("a\nb")}).Append(nil)) +
		string((&Message{Type: TypeRequestsBegun, RequestIDs: []string{"x"}}).Append(nil))
	for _, size := range []int{1, 2, 3, 7, 50, len(text)} {
		loop, fds := newLoopAndSocketPair(t)
		var got []string
		closed := 0
		onMessage := func(_ *Link, m *Message) { got = append(got, string(m.Type)+string(m.Body)) }
		if _, err := ConnectLink(loop, fds[0], onMessage, func(*Link, error) {
			closed++
			loop.Stop()
		}); err != nil {
			t.Fatal(err)
		}
		loop.After(5*time.Second, loop.Stop)
		go func() {
			for rest := text + "{no message\n" + text; rest != ""; {
				n, err := unix.Write(fds[1], []byte(rest[:min(size, len(rest))]))
				if err != nil {
					return // the other end has closed the link, as expected
				}
				rest = rest[n:]
			}
		}()
		if err := loop.Run(); err != nil {
			t.Fatal(err)
		}
		unix.Close(fds[1])
		if strings.Join(got, ",") != "take,calla\nb,begun" || closed != 1 {
			t.Errorf("in pieces of %d bytes: got messages %q and %d calls of onClose, want 3 and 1",
				size, got, closed)
		}
	}
}

// Without a limit, a message that never ends would use unlimited memory.
func TestLinkClosesOnEndlessMessage(t *testing.T) {
	loop, fds := newLoopAndSocketPair(t)
	closed := false
	if _, err := ConnectLink(loop, fds[0], nil, func(*Link, error) {
		closed = true
		loop.Stop()
	}); err != nil {
		t.Fatal(err)
	}
	loop.After(10*time.Second, loop.Stop)
	go func() {
		piece := []byte(strings.Repeat("x", 1<<16))
		for sent := 0; sent < 2*maxMessageBytes; sent += len(piece) {
			if _, err := unix.Write(fds[1], piece); err != nil {
				return
			}
		}
	}()
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	unix.Close(fds[1])
	if !closed {
		t.Error("the link did not close on a message over the limit")
	}
}
