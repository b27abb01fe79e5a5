package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// upgradeFixture is a node whose process is replaced while clients send jobs.
type upgradeFixture struct {
	*adminFixture
	rng            *rand.Rand
	killed         bool // processes are killed, and their jobs are lost
	stop           chan struct{}
	clientsRunning sync.WaitGroup
	lastID         atomic.Int64
	resent         atomic.Int64 // requests that were sent again because their connection was closed unread
	unanswered     atomic.Int64 // requests without a response
	served         atomic.Int64
	wrongResponse  atomic.Value
}

// startUpgradableNode starts a node and logs its random seed; SEED in the environment repeats a run.
func startUpgradableNode(t *testing.T, workers int) *upgradeFixture {
	seed := uint64(time.Now().UnixNano())
	if s := os.Getenv("SEED"); s != "" {
		_, err := fmt.Sscan(s, &seed)
		check(t, err)
	}
	t.Logf("SEED=%d", seed)
	// The path is too long for a Unix socket address, as a platform's may be.
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 100))
	check(t, os.Mkdir(dir, 0o700))
	t.Setenv("TMPDIR", dir)
	u := &upgradeFixture{rng: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{})}
	var mu sync.Mutex
	jitter := rand.New(rand.NewPCG(seed, 1))
	u.adminFixture = startNodeWithAdmin(t, workers, func(_ int, s workerCall, rw http.ResponseWriter) {
		rw.WriteHeader(202)
		mu.Lock()
		duration := time.Duration(jitter.IntN(250)) * time.Millisecond
		mu.Unlock()
		go func() {
			time.Sleep(duration)
			for range 10 { // the protocol requires workers to repeat call-backs
				status := s.worker.node.callBack(s.id, s.worker.name, "done", "did "+s.body)
				if status == 204 {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	})
	t.Cleanup(u.stopClients)
	return u
}

func (u *upgradeFixture) stopClients() {
	select {
	case <-u.stop:
	default:
		close(u.stop)
	}
	u.clientsRunning.Wait()
}

// startClients starts clients that keep their connections and send one job at a time each.
func (u *upgradeFixture) startClients(n int) {
	for range n {
		u.clientsRunning.Add(1)
		go func() {
			defer u.clientsRunning.Done()
			var c net.Conn
			for {
				select {
				case <-u.stop:
					if c != nil {
						c.Close()
					}
					return
				default:
					c = u.requestJob(c)
				}
			}
		}()
	}
}

// requestJob sends a job on a connection, or on a new one if c is nil, and returns the connection if it can
// be used again.
func (u *upgradeFixture) requestJob(c net.Conn) net.Conn {
	id := fmt.Sprint("u", u.lastID.Add(1))
	for attempt := 0; ; attempt++ {
		kept := c != nil
		if !kept {
			var err error
			if c, err = net.Dial("tcp", u.addr); err != nil {
				u.unanswered.Add(1)
				time.Sleep(10 * time.Millisecond)
				return nil
			}
		}
		_ = c.SetDeadline(time.Now().Add(waitLimit))
		_, err := io.WriteString(c, jobRequest(id, "book", "5000m", id))
		r := bufio.NewReader(c)
		if err == nil {
			_, err = r.Peek(1)
		}
		if err != nil {
			c.Close()
			if c = nil; kept && attempt == 0 {
				u.resent.Add(1) // a node may close a connection between requests
				if u.killed {
					id += "-again" // the first one may have run
				}
				continue
			}
			u.unanswered.Add(1)
			return nil
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			c.Close()
			u.unanswered.Add(1)
			return nil
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != 200 || string(body) != "did "+id {
			u.wrongResponse.Store(fmt.Sprintf("%s was answered %d %q, %v", id, resp.StatusCode, body, err))
			c.Close()
			return nil
		}
		u.served.Add(1)
		if resp.Close {
			c.Close()
			return nil
		}
		return c
	}
}

// startProcess starts one more process of the node, with a separate admin address.
func (u *upgradeFixture) startProcess() (cmd *exec.Cmd, admin string) {
	u.t.Helper()
	return u.startProgram(program)
}

// startProgram is startProcess with a given program, which may be an earlier version.
func (u *upgradeFixture) startProgram(path string) (cmd *exec.Cmd, admin string) {
	u.t.Helper()
	admin = freeAddress(u.t)
	cmd = exec.Command(path)
	cmd.Env = append(append([]string{}, u.cmd.Env...), "BALANCER_ADMIN_ADDR="+admin)
	cmd.Stderr = os.Stderr
	check(u.t, cmd.Start())
	u.t.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	})
	return cmd, admin
}

func isReady(admin string) bool {
	c, err := net.Dial("tcp", admin)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, "status\n")
	answer, _ := io.ReadAll(c)
	return strings.HasPrefix(string(answer), "ACK")
}

func (u *upgradeFixture) sleepUpTo(maxMillis int) {
	time.Sleep(time.Duration(u.rng.IntN(maxMillis)) * time.Millisecond)
}

// waitServing waits until the clients have got more than 50 further responses.
func (u *upgradeFixture) waitServing(what string) {
	u.t.Helper()
	before := u.served.Load()
	eventually(u.t, what, func() bool { return u.served.Load() > before+50 })
}

// checkNoJobRanTwice checks that no job ran twice at the workers and that no client got a wrong response.
func (u *upgradeFixture) checkNoJobRanTwice() {
	u.t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	ran := map[string]int{}
	for _, h := range u.workers {
		for _, s := range h.received {
			if s.method == "POST" {
				if ran[s.id]++; ran[s.id] > 1 {
					u.t.Errorf("%s ran %d times", s.id, ran[s.id])
				}
			}
		}
	}
	if w := u.wrongResponse.Load(); w != nil {
		u.t.Error(w)
	}
}
