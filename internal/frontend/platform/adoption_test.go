package platform

import (
	"bufio"
	stdnet "net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/proxy/hotrestart"
)

// A job comes from a process whose clock is an hour ahead or behind, since the wall clock was stepped between
// the two processes' starts: its client has the time that it had left, no more and no less.
func TestJobOfAProcessWithAnotherClock(t *testing.T) {
	const left = 600 * time.Millisecond
	for name, ahead := range map[string]time.Duration{"ahead": time.Hour, "behind": -time.Hour, "alike": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := served(t, newWorker(t))
			done, late := given(t, f, "done", ahead, left), given(t, f, "late", ahead, left)
			began := time.Now()
			time.AfterFunc(left/2, func() {
				word := []byte(`{"id":"done","from":"s-2","state":"done","result":"r"}`)
				f.loop.Post(func() { f.handleCallBack(word) })
			})
			if got := status(t, done); got != http.StatusOK {
				t.Errorf("the job that is done in time gets %d", got)
			}
			if got := status(t, late); got != http.StatusBadGateway {
				t.Errorf("the one that is not gets %d", got)
			}
			took := time.Since(began)
			if took < left-100*time.Millisecond || took > left+500*time.Millisecond {
				t.Errorf("its answer comes after %v, of %v", took, left)
			}
		})
	}
}

// given has the front take over a job whose sender's clock is so far ahead, and is its client.
func given(t *testing.T, f *Front, id string, ahead, left time.Duration) stdnet.Conn {
	t.Helper()
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := stdnet.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	file, err := server.(*stdnet.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	fd, err := unix.Dup(int(file.Fd()))
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	taken := make(chan error, 1)
	f.loop.Post(func() {
		taken <- f.AdoptRequest(&hotrestart.MigratedRequest{ID: id, Endpoints: []string{"s-2"},
			Deadline: f.loop.Now() + ahead + left,
			Timeout:  left}, fd)
	})
	if err := <-taken; err != nil {
		t.Fatal(err)
	}
	return client
}

// status is that of the answer that comes.
func status(t *testing.T, c stdnet.Conn) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}
