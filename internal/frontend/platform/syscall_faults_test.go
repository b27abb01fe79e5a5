package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/faultnet"
)

// acceptingWorkers accept every request and call back with a result.
type acceptingWorkers struct {
	t            *testing.T
	frontAddress string // address for call-backs
	mu           sync.Mutex
	received     map[string]bool // ids of received requests
}

// hasReceived reports whether any worker has received the request.
func (w *acceptingWorkers) hasReceived(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received[id]
}

// start starts a worker and returns its address.
func (w *acceptingWorkers) start(name string) string {
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(http.StatusAccepted)
		if r.Method == "POST" {
			id := r.Header.Get("X-Request-ID")
			w.mu.Lock()
			w.received[id] = true
			w.mu.Unlock()
			go w.callBack(id, name)
		}
	}))
	w.t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// callBack reports that a request is done, and repeats the call until it gets a response, as real workers do.
func (w *acceptingWorkers) callBack(id, from string) {
	once := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	body, _ := json.Marshal(map[string]string{"id": id, "from": from, "state": "done", "result": "done"})
	for range 10 {
		resp, err := once.Post("http://"+w.frontAddress+callBackPath, "", strings.NewReader(string(body)))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// System calls fail sometimes, with errors that don't break established connections: every request that the
// front has read still gets one final response, and at least half of them are served.
func TestEveryRequestIsAnsweredWhileSystemCallsFail(t *testing.T) {
	for call, failures := range map[faultnet.Syscall][]error{
		faultnet.Accept: {unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
		faultnet.Socket: {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
		faultnet.Connect: {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT,
			unix.EAGAIN, unix.EINTR},
		faultnet.EpollWait: {unix.EINTR},
		faultnet.EpollCtl:  {unix.ENOMEM},
		faultnet.Read:      {unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM},
		faultnet.Write:     {unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM},
		faultnet.Peek:      {unix.EINTR},
	} {
		for _, err := range failures {
			t.Run(fmt.Sprintf("%s %v", call, err), func(t *testing.T) {
				t.Parallel()
				requireResponses(t, faultnet.New(nil), faultnet.FailSometimes(call, err))
			})
		}
	}
	t.Run("short reads and writes", func(t *testing.T) {
		t.Parallel()
		system := faultnet.New(nil)
		system.OneByteIO = true
		requireResponses(t, system, nil)
	})
}

// requireResponses starts a front on the given system and has clients send requests to it while system calls
// fail as the script says.
func requireResponses(t *testing.T, system *faultnet.System, script faultnet.Script) {
	t.Helper()
	a := newDiscovery(t)
	a.state = "DRAINING"
	w := &acceptingWorkers{t: t, received: map[string]bool{}}
	for i := range 3 {
		a.workerAddresses = append(a.workerAddresses, w.start(fmt.Sprintf("s-%d", i+2)))
	}
	f := newFrontOn(t, system, "on_request", a)
	awaitState(t, f, "DRAINING", 20*drainGrace)
	w.frontAddress = f.address(t)
	system.SetScript(script)
	var clients sync.WaitGroup
	served := make(chan int, 4)
	for i := range cap(served) {
		clients.Go(func() { served <- w.sendRequests(i) })
	}
	clients.Wait()
	close(served)
	total := 0
	for n := range served {
		total += n
	}
	if want := cap(served) * requestsPerClient / 2; total < want {
		t.Errorf("%d requests were served, want at least %d", total, want)
	}
}

// requestsPerClient is the number of requests that each client sends.
const requestsPerClient = 12

// sendRequests sends requests one after the other and returns how many were served. The test fails if one
// gets no response.
func (w *acceptingWorkers) sendRequests(client int) (served int) {
	c := &keepAliveClient{workers: w}
	defer c.disconnect()
	for i := range requestsPerClient {
		id := fmt.Sprintf("c%d-%d", client, i)
		status, err := c.request(id)
		// The front may close the connection before it reads the request: then it is sent once more. A
		// request that a worker has received was read.
		if err != nil && !w.hasReceived(id) {
			status, err = c.request(id + "-again")
		}
		if err != nil {
			w.t.Errorf("request %s: %v; received by a worker: %v", id, err, w.hasReceived(id))
		}
		if status == http.StatusOK {
			served++
		}
	}
	return served
}

// keepAliveClient reuses its connection for as long as the front keeps it open.
type keepAliveClient struct {
	workers *acceptingWorkers
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *keepAliveClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends a request and returns the status of its response.
func (c *keepAliveClient) request(id string) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.workers.frontAddress); err != nil {
			return 0, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(2 * requestTimeout))
	fmt.Fprintf(c.conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: c\r\n"+
		"X-Timeout: %dm\r\nContent-Length: 1\r\n\r\nx", id, requestTimeout.Milliseconds())
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.disconnect()
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.Close {
		c.disconnect()
	}
	return resp.StatusCode, err
}
