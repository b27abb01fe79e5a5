package platform

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/proxy/hotrestart"
)

// The clock of the process that migrates a request may be an hour ahead or behind, if the wall clock was
// stepped between the starts of the two processes. An adopted request must still keep exactly the rest of
// its timeout.
func TestAdoptedRequestKeepsTimeoutAcrossClocks(t *testing.T) {
	const timeout = 600 * time.Millisecond
	for name, ahead := range map[string]time.Duration{"ahead": time.Hour, "behind": -time.Hour, "alike": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newFrontWithWorkers(t, newFakeWorker(t))
			done, late := adopt(t, f, "done", ahead, timeout), adopt(t, f, "late", ahead, timeout)
			began := time.Now()
			time.AfterFunc(timeout/2, func() {
				callBack := []byte(`{"id":"done","from":"s-2","state":"done","result":"r"}`)
				f.loop.Post(func() { f.handleCallBack(callBack) })
			})
			if got := readStatus(t, done); got != http.StatusOK {
				t.Errorf("the request that is done in time got status %d, want 200", got)
			}
			if got := readStatus(t, late); got != http.StatusBadGateway {
				t.Errorf("the request that is not done got status %d, want 502", got)
			}
			took := time.Since(began)
			if took < timeout-100*time.Millisecond || took > timeout+500*time.Millisecond {
				t.Errorf("the response of the latter came after %v, its timeout is %v", took, timeout)
			}
		})
	}
}

// adopt has the front adopt a request from a process whose clock is ahead by the given time. It returns the
// client's connection.
func adopt(t *testing.T, f *Front, id string, ahead, timeout time.Duration) net.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	file, err := server.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	fd, err := unix.Dup(int(file.Fd()))
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	adopted := make(chan error, 1)
	f.loop.Post(func() {
		adopted <- f.AdoptRequest(&hotrestart.MigratedRequest{ID: id, Endpoints: []string{"s-2"},
			Deadline: f.loop.Now() + ahead + timeout,
			Timeout:  timeout}, fd)
	})
	if err := <-adopted; err != nil {
		t.Fatal(err)
	}
	return client
}

// readStatus returns the status of the next response.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}
