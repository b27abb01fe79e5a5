package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	drainClients = 8
	drainWarmUp  = 6 * time.Second
	// newConnectionsEnd is how long after SIGTERM new connections keep arriving, killAfter when SIGKILL
	// comes, and excusedUntil until when a request may arrive that SIGKILL may leave unanswered.
	newConnectionsEnd = 400 * time.Millisecond
	killAfter         = 3750 * time.Millisecond
	excusedUntil      = 700 * time.Millisecond
)

// drainCase is a planned restart of a node that has both fronts.
type drainCase struct {
	*rig
	address string

	mu         sync.Mutex
	signalled  time.Time // when SIGTERM was sent; zero: not yet
	stopped    bool      // clients begin no further request
	requests   int
	answered   map[int]int // by status
	unanswered []openRequest
	open       map[string]openRequest
}

// openRequest is a request that was written whole and has no answer.
type openRequest struct {
	id      string
	written time.Time
	err     error
}

// runDrain plays a planned restart: SIGTERM, and SIGKILL after the longest deadline, counted as 3 s, and
// 0.7 s more.
func runDrain(r *rig) {
	p := newPlatform(r, 1, 5, func(k int) int { return k % 2 }, 25*time.Second)
	n := p.nodes[0]
	config := p.writeConfig(n, "n0", settings(1,
		class("trip-quote", "retryable", "all", 5*time.Second, 5*time.Second),
		class("trip-book", "dedup", "cell", 15*time.Second, 25*time.Second)))
	faktoryFile, faktoryAddress := r.writeFaktory()
	node := r.start("n0.log", "--faktory "+faktoryFile, "BALANCER_CONFIG="+config)
	ended := make(chan struct{})
	go func() { _ = node.Wait(); close(ended) }()
	r.waitHealthy(n.listen)
	d := &drainCase{rig: r, address: n.listen, answered: map[int]int{}, open: map[string]openRequest{}}
	if !r.control {
		d.startFaktoryLoad(faktoryAddress)
	}
	var clients sync.WaitGroup
	for k := range drainClients {
		clients.Go(func() { d.client(k) })
	}
	time.Sleep(drainWarmUp)
	if r.trouble {
		d.restart(node, ended)
	} else {
		time.Sleep(killAfter)
		d.stop()
	}
	clients.Wait()
	d.judge()
}

func (d *drainCase) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
}

// restart sends SIGTERM and, if the node has not ended by then, SIGKILL.
func (d *drainCase) restart(node *exec.Cmd, ended chan struct{}) {
	d.mu.Lock()
	d.signalled = time.Now()
	signalled := d.signalled
	d.mu.Unlock()
	d.log("SIGTERM to the node")
	_ = node.Process.Signal(syscall.SIGTERM)
	go d.watchHealth(ended)
	select {
	case <-ended:
		d.log("the node ended %.3f s after SIGTERM", time.Since(signalled).Seconds())
	case <-time.After(killAfter):
		d.log("SIGKILL to the node, %.3f s after SIGTERM", time.Since(signalled).Seconds())
		_ = node.Process.Kill()
		<-ended
	}
	d.stop()
}

// watchHealth records what the node answers to health checks after SIGTERM.
func (d *drainCase) watchHealth(ended chan struct{}) {
	client := http.Client{Timeout: time.Second}
	for last := ""; ; {
		select {
		case <-ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
		status := "no answer"
		if resp, err := client.Get("http://" + d.address + "/_health"); err == nil {
			status = resp.Status
			resp.Body.Close()
		}
		if status != last {
			d.log("health check: %s, %.3f s after SIGTERM", status, time.Since(d.signalled).Seconds())
			last = status
		}
	}
}

// startFaktoryLoad starts five Faktory workers, and a producer that pushes two ordinary jobs a second.
func (d *drainCase) startFaktoryLoad(address string) {
	for k := range 5 {
		w, err := dialFaktory(address, fmt.Sprintf("wid-%d", k), fmt.Sprintf("pod:%d", k%2+1))
		if err != nil {
			d.cannotRun("Faktory worker: %v", err)
		}
		go func() {
			for {
				jid, work, err := w.fetch()
				if errors.Is(err, errNoJob) {
					continue
				} else if err != nil {
					return
				}
				time.Sleep(work)
				if w.ack(jid) != nil {
					return
				}
				d.log("Faktory worker %d: job %s done", k, jid)
			}
		}()
	}
	producer, err := dialFaktory(address, "")
	if err != nil {
		d.cannotRun("Faktory producer: %v", err)
	}
	go func() {
		for n := 0; ; n++ {
			jid := fmt.Sprintf("faktory-%05d", n)
			err := producer.push(jid, "trip-book", 0, 1.4)
			if d.log("Faktory job %s pushed: %v", jid, err); err != nil {
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

// mayConnect reports whether the clients' front still deals out new connections.
func (d *drainCase) mayConnect() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopped && (d.signalled.IsZero() || time.Since(d.signalled) < newConnectionsEnd)
}

func (d *drainCase) ends() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped
}

// client sends one request after another, on one connection for as long as that stays open.
func (d *drainCase) client(k int) {
	for d.mayConnect() {
		conn, err := net.DialTimeout("tcp", d.address, time.Second)
		if err != nil {
			d.log("client %d: %v", k, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		d.useConnection(k, conn)
		_ = conn.Close()
	}
}

// useConnection sends requests until the connection ends or the clients stop.
func (d *drainCase) useConnection(k int, conn net.Conn) {
	in := bufio.NewReader(conn)
	for n := 0; !d.ends(); n++ {
		name, timeout := "trip-quote", 5000
		if (n+k)%2 == 0 {
			name, timeout = "trip-book", 15000
		}
		id := fmt.Sprintf("%02d%012x", k, time.Now().UnixNano()&0xffffffffffff)
		_, err := fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\n"+
			"X-Priority-Class: %s\r\nX-Tenant-Id: muscat\r\nX-Timeout: %dm\r\nIdempotency-Key: key-%s\r\n"+
			"Content-Length: %d\r\n\r\n%s", id, name, timeout, id, len(name), name)
		if err != nil {
			d.log("client %d: the connection ended between requests: %v", k, err)
			return
		}
		d.sent(id)
		closes, err := d.readAnswer(conn, in, id, time.Duration(timeout)*time.Millisecond)
		if err != nil || closes {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (d *drainCase) sent(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests++
	d.open[id] = openRequest{id: id, written: time.Now()}
}

// readAnswer reads the final answer to a request.
func (d *drainCase) readAnswer(conn net.Conn, in *bufio.Reader, id string,
	timeout time.Duration) (closes bool, err error) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout + 500*time.Millisecond))
	resp, err := http.ReadResponse(in, nil)
	body := []byte(nil)
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.open[id]
	delete(d.open, id)
	if err != nil {
		q.err = err
		d.unanswered = append(d.unanswered, q)
		return true, err
	}
	d.answered[resp.StatusCode]++
	d.log("request %s answered %d after %.3f s: %s", id, resp.StatusCode, time.Since(q.written).Seconds(),
		strings.TrimSpace(string(body)))
	if resp.StatusCode == 200 && string(body) != "done "+id {
		d.breaks("request %s was answered with %q", id, body)
	}
	return resp.Close, nil
}

// judge counts the requests that were lost: without the restart all without an answer, with it those that
// arrived more than 0.7 s after SIGTERM.
func (d *drainCase) judge() {
	d.log("%d requests, answered by status: %v, without an answer: %d", d.requests, d.answered,
		len(d.unanswered))
	for _, q := range d.unanswered {
		if d.signalled.IsZero() {
			d.breaks("request %s has no answer: %v", q.id, q.err)
			continue
		}
		after := q.written.Sub(d.signalled)
		if after > excusedUntil {
			d.breaks("request %s, written %.3f s after SIGTERM on a connection that the node kept open, "+
				"has no answer: %v", q.id, after.Seconds(), q.err)
		} else {
			d.log("request %s, written %.3f s after SIGTERM, has no answer: %v (excused)", q.id,
				after.Seconds(), q.err)
		}
	}
	d.log("log of the node:\n%s", d.logOf("n0.log"))
}
