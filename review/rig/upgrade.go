package main

import (
	"bufio"
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
	quoteInterval = 40 * time.Millisecond // between two ordinary requests: 25 a second
	upgradeHeavy  = 6                     // clients that send heavy requests, one after another
	heavyRun      = 12400 * time.Millisecond
	upgradeLead   = 14 * time.Second // from the start of the load to the upgrade
	readyWithin   = 6 * time.Second
	upgradeKill   = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	// heldUpAt is when the new process is held up, from SIGTERM to the old one, and heldUpFor how long.
	heldUpAt  = 2410 * time.Millisecond
	heldUpFor = 140 * time.Millisecond
)

// upgradeCase is the replacement of a node's process while it serves.
type upgradeCase struct {
	*rig
	platform *platform
	address  string
	config   string

	mu       sync.Mutex
	stopped  bool
	answered map[string]int // by class and status
	errors   []openRequest
}

// runUpgrade starts the program again beside a running node, and ends the old process when the new one is
// ready. If there is trouble, the new process is held up for 0.14 s while the old one ends.
func runUpgrade(r *rig) {
	runningTime["heavy"] = heavyRun
	p := newPlatform(r, 1, 5, func(k int) int { return k % 2 }, 25*time.Second)
	n := p.nodes[0]
	u := &upgradeCase{rig: r, platform: p, address: n.listen, answered: map[string]int{},
		config: p.writeConfig(n, "n0", settings(1,
			class("trip-quote", "retryable", "all", 5*time.Second, 5*time.Second),
			class("trip-book", "dedup", "cell", 15*time.Second, 25*time.Second)))}
	old, _ := u.startProcess("old")
	r.waitHealthy(n.listen)
	var clients sync.WaitGroup
	clients.Go(u.sendQuotes)
	for k := range upgradeHeavy {
		clients.Go(func() {
			time.Sleep(time.Duration(k) * heavyRun / upgradeHeavy)
			u.heavyClient()
		})
	}
	time.Sleep(upgradeLead)
	u.replace(old)
	time.Sleep(time.Second)
	u.mu.Lock()
	u.stopped = true
	u.mu.Unlock()
	clients.Wait()
	u.judge()
}

// startProcess starts the node's program with a second address of its own.
func (u *upgradeCase) startProcess(name string) (process *exec.Cmd, admin string) {
	admin = u.freeAddress()
	return u.start(name+".log", "", "BALANCER_CONFIG="+u.config, "TMPDIR="+u.dir,
		"BALANCER_ADMIN_ADDR="+admin), admin
}

// replace plays the platform's part of an upgrade.
func (u *upgradeCase) replace(old *exec.Cmd) {
	next, admin := u.startProcess("new")
	for end := time.Now().Add(readyWithin); !ready(admin); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			u.cannotRun("the new process is not ready in time")
		}
	}
	u.log("the new process is ready; SIGTERM to the old one")
	signalled := time.Now()
	_ = old.Process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() { _ = old.Wait(); close(ended) }()
	if u.trouble {
		go u.holdUp(next, signalled)
	}
	select {
	case <-ended:
		u.log("the old process ended %.3f s after SIGTERM", time.Since(signalled).Seconds())
	case <-time.After(upgradeKill):
		u.log("SIGKILL to the old process, %.3f s after SIGTERM", time.Since(signalled).Seconds())
		_ = old.Process.Kill()
		<-ended
	}
}

// ready reports whether a process says at its second address that it is ready to serve.
func ready(admin string) bool {
	conn, err := net.DialTimeout("tcp", admin, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	fmt.Fprint(conn, "status\n")
	answer, _ := io.ReadAll(conn)
	return strings.HasPrefix(string(answer), "ACK")
}

// holdUp stops a process for heldUpFor.
func (u *upgradeCase) holdUp(process *exec.Cmd, signalled time.Time) {
	time.Sleep(time.Until(signalled.Add(heldUpAt)))
	stopped := time.Now()
	_ = process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(heldUpFor)
	_ = process.Process.Signal(syscall.SIGCONT)
	u.log("the new process was held up from %.3f s after SIGTERM on, for %.3f s",
		stopped.Sub(signalled).Seconds(), time.Since(stopped).Seconds())
}

func (u *upgradeCase) ends() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopped
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// sendQuotes sends ordinary requests at a steady rate. Clients keep their connections, and open another one
// when all are busy.
func (u *upgradeCase) sendQuotes() {
	var idle sync.Map // of *clientConn
	var requests sync.WaitGroup
	for next := time.Now(); !u.ends(); next = next.Add(quoteInterval) {
		time.Sleep(time.Until(next))
		requests.Go(func() {
			var conn *clientConn
			idle.Range(func(key, _ any) bool {
				if _, ok := idle.LoadAndDelete(key); ok {
					conn = key.(*clientConn)
				}
				return conn == nil
			})
			if conn = u.request(conn, "trip-quote", "trip-quote", 5*time.Second); conn != nil {
				idle.Store(conn, true)
			}
		})
	}
	requests.Wait()
	idle.Range(func(key, _ any) bool { return key.(*clientConn).Close() == nil })
}

// heavyClient sends one heavy request after another, on one connection for as long as that stays open.
func (u *upgradeCase) heavyClient() {
	for conn := (*clientConn)(nil); !u.ends(); {
		conn = u.request(conn, "trip-book", "heavy", 15*time.Second)
	}
}

// request sends a request and reads its answer, on a new connection if there is none or if the node has
// closed it meanwhile. It returns the connection if that is still open.
func (u *upgradeCase) request(conn *clientConn, class, work string, timeout time.Duration) *clientConn {
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	for range 10 {
		if conn == nil {
			c, err := net.DialTimeout("tcp", u.address, time.Second)
			if err != nil {
				u.log("%v", err)
				time.Sleep(50 * time.Millisecond)
				continue
			}
			conn = &clientConn{c, bufio.NewReader(c)}
		}
		_, err := fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\n"+
			"X-Priority-Class: %s\r\nX-Tenant-Id: muscat\r\nX-Timeout: %dm\r\nIdempotency-Key: key-%s\r\n"+
			"Content-Length: %d\r\n\r\n%s", id, class, timeout.Milliseconds(), id, len(work), work)
		if err != nil {
			_ = conn.Close()
			conn = nil
			continue
		}
		if u.readAnswer(conn, conn.in, class, openRequest{id: id, written: time.Now()}, timeout) {
			_ = conn.Close()
			conn = nil
		}
		return conn
	}
	return nil
}

// readAnswer reads the final answer to a request and reports whether the connection has ended.
func (u *upgradeCase) readAnswer(conn net.Conn, in *bufio.Reader, class string, q openRequest,
	timeout time.Duration) (closes bool) {
	_ = conn.SetReadDeadline(q.written.Add(timeout + 500*time.Millisecond))
	resp, err := http.ReadResponse(in, nil)
	body := []byte(nil)
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		q.err = err
		u.errors = append(u.errors, q)
		u.log("request %s: %v, %.3f s after it was written", q.id, err, time.Since(q.written).Seconds())
		return true
	}
	u.answered[fmt.Sprintf("%s %d", class, resp.StatusCode)]++
	if resp.StatusCode == 200 && string(body) != "done "+q.id {
		u.breaks("request %s was answered with %q", q.id, body)
	}
	return resp.Close
}

// judge counts the requests that were lost: those that a worker had got, so that the node had read them, and
// that have no answer. Any other the client would send once more on a new connection.
func (u *upgradeCase) judge() {
	u.log("answered by class and status: %v, without an answer: %d", u.answered, len(u.errors))
	sent := map[string]string{}
	u.platform.mu.Lock()
	for _, run := range u.platform.runs {
		sent[run.id] = run.worker
	}
	u.platform.mu.Unlock()
	for _, q := range u.errors {
		if worker := sent[q.id]; worker != "" {
			u.breaks("request %s, which the node had sent to %s, has no answer: %v", q.id, worker, q.err)
		}
	}
	u.log("log of the old process:\n%s", u.logOf("old.log"))
	u.log("log of the new process:\n%s", u.logOf("new.log"))
}
