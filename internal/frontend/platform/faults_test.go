package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	stdnet "net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/faultnet"
)

// workers take each request and tell that it is done.
type workers struct {
	t     *testing.T
	front string // its address
	mu    sync.Mutex
	seen  map[string]bool // the requests that came
}

// saw says whether a request has come to any worker.
func (w *workers) saw(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen[id]
}

// start starts one, and returns its address.
func (w *workers) start(name string) string {
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(http.StatusAccepted)
		if r.Method == "POST" {
			id := r.Header.Get("X-Request-ID")
			w.mu.Lock()
			w.seen[id] = true
			w.mu.Unlock()
			go w.callBack(id, name)
		}
	}))
	w.t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// callBack tells that a request is done, as often as workers repeat what was not answered.
func (w *workers) callBack(id, from string) {
	once := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	word, _ := json.Marshal(map[string]string{"id": id, "from": from, "state": "done", "result": "done"})
	for range 10 {
		resp, err := once.Post("http://"+w.front+callBackPath, "", strings.NewReader(string(word)))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// System calls fail now and then, in each way that breaks no connection: every request that was read has one
// final answer, and most are served.
func TestAnswersWhileSystemCallsFail(t *testing.T) {
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
				answersOn(t, faultnet.New(nil), faultnet.FailSometimes(call, err))
			})
		}
	}
	t.Run("short reads and writes", func(t *testing.T) {
		t.Parallel()
		system := faultnet.New(nil)
		system.OneByteIO = true
		answersOn(t, system, nil)
	})
}

// answersOn has clients ask a front on the system, which follows the script from then on.
func answersOn(t *testing.T, system *faultnet.System, script faultnet.Script) {
	t.Helper()
	a := newAgent(t)
	a.state = "DRAINING"
	w := &workers{t: t, seen: map[string]bool{}}
	for i := range 3 {
		a.hosts = append(a.hosts, w.start(fmt.Sprintf("s-%d", i+2)))
	}
	f := followerOn(t, system, "on_request", a)
	turns(t, f, "DRAINING", 20*grace)
	w.front = f.address(t)
	system.SetScript(script)
	var clients sync.WaitGroup
	served := make(chan int, 4)
	for i := range cap(served) {
		clients.Go(func() { served <- w.ask(i) })
	}
	clients.Wait()
	close(served)
	all := 0
	for n := range served {
		all += n
	}
	if want := cap(served) * requests / 2; all < want {
		t.Errorf("%d requests are served, want %d at least", all, want)
	}
}

// requests is how many each client sends.
const requests = 12

// ask sends requests one after the other, wants an answer to each and counts those that are served.
func (w *workers) ask(client int) (served int) {
	c := &caller{w: w}
	defer c.hangUp()
	for i := range requests {
		id := fmt.Sprintf("c%d-%d", client, i)
		status, err := c.request(id)
		// A close may cross a request that was not read: then it is sent once more. One that went on to a
		// worker was read.
		if err != nil && !w.saw(id) {
			status, err = c.request(id + "-again")
		}
		if err != nil {
			w.t.Errorf("request %s: %v; it came to a worker: %v", id, err, w.saw(id))
		}
		if status == http.StatusOK {
			served++
		}
	}
	return served
}

// caller is a client that keeps its connection while it may.
type caller struct {
	w    *workers
	conn stdnet.Conn
	in   *bufio.Reader
}

func (c *caller) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends one and returns the status of its answer.
func (c *caller) request(id string) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = stdnet.Dial("tcp", c.w.front); err != nil {
			return 0, err
		}
		c.in = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(2 * patience))
	fmt.Fprintf(c.conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: c\r\n"+
		"X-Timeout: %dm\r\nContent-Length: 1\r\n\r\nx", id, patience.Milliseconds())
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.hangUp()
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.Close {
		c.hangUp()
	}
	return resp.StatusCode, err
}
