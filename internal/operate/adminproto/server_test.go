package adminproto

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/eventloop"
)

// testTimeout limits the duration of each exchange.
const testTimeout = 10 * time.Second

// serve starts a loop that serves the handler until the test ends, and returns the address.
func serve(t *testing.T, h Handler) string {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	l, err := Listen(loop, "127.0.0.1:0", h)
	if err != nil {
		t.Fatal(err)
	}
	sockaddr, err := unix.Getsockname(l.FD())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return fmt.Sprintf("127.0.0.1:%d", sockaddr.(*unix.SockaddrInet4).Port)
}

// connect opens a connection that is closed when the test ends.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// exchange sends a command in pieces and returns everything received until the connection is closed.
func exchange(t *testing.T, c net.Conn, pieces ...string) string {
	t.Helper()
	for _, piece := range pieces {
		if _, err := io.WriteString(c, piece); err != nil {
			t.Fatal(err)
		}
	}
	reply, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(reply)
}

func TestSessionRepliesOnceAndCloses(t *testing.T) {
	address := serve(t, &recorder{})
	for _, c := range []struct {
		name   string
		pieces []string
		reply  string
	}{
		{"a line", []string{"status\n"}, "ACK status\n"},
		{"with a carriage return", []string{"status\r\n"}, "ACK status\n"},
		{"in pieces", []string{"sta", "tus", "\n"}, "ACK status\n"},
		{"two lines", []string{"standby\nactive\n"}, "ACK standby\n"},
		{"the longest line", []string{strings.Repeat(" ", maxLineBytes-len("status")), "status\n"},
			"ACK status\n"},
		{"a longer line", []string{strings.Repeat("x", maxLineBytes+1)},
			"NAK the call is longer than 512 bytes\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := exchange(t, connect(t, address), c.pieces...); got != c.reply {
				t.Errorf("got %q, want %q", got, c.reply)
			}
		})
	}
}

func TestSilentConnectionsGiveWayToNewOnes(t *testing.T) {
	address := serve(t, &recorder{})
	for range maxConnections {
		connect(t, address)
	}
	if got := exchange(t, connect(t, address), "status\n"); got != "ACK status\n" {
		t.Errorf("got reply %q with %d silent connections, want ACK status", got, maxConnections)
	}
}
