package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// loadedInstance is an instance under load, with the number of attempts of each job.
type loadedInstance struct {
	*group
	node     *nodeFixture
	mu       sync.Mutex
	attempts map[string]int // by request ID
}

// Changes come into force under load: no request is lost, and requests after a change follow the new
// configuration.
func TestChangesUnderLoad(t *testing.T) {
	t.Parallel()
	l := &loadedInstance{group: newGroup(t), attempts: map[string]int{}}
	l.node = l.startSoleInstance("", func(_ int, s workerCall, rw http.ResponseWriter) {
		l.mu.Lock()
		l.attempts[s.id]++
		l.mu.Unlock()
		if s.body == "bad" {
			rw.WriteHeader(500)
			return
		}
		acceptJob(s, rw, "done")
	})
	l.must("cluster", "init", "--config", "n1.toml")
	l.waitAdmitting("n1")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() { l.sendUntil(stop, n) })
	}
	if n := l.attemptsOfFailingJob("before"); n < 2 {
		t.Errorf("a failing job had %d attempts before the change, want at least 2", n)
	}
	for n := range 20 {
		change := []string{fmt.Sprintf("worth = %d.0", 5+n), fmt.Sprintf("worth = %d.0", 6+n)}
		if n == 0 {
			change = append(change, `name = "quote"`, "name = \"quote\"\nattempts = 1")
		}
		l.edit("c.toml", "n1", change...)
		l.must("config", "propose", "c.toml", "--config", "n1.toml")
	}
	l.waitRevision("n1", "21")
	if n := l.attemptsOfFailingJob("after"); n != 1 {
		t.Errorf("a failing job had %d attempts after the change, want 1", n)
	}
	close(stop)
	clients.Wait()
	check(t, l.node.cmd.Process.Signal(syscall.SIGTERM))
	if err := l.node.cmd.Wait(); err != nil {
		t.Errorf("the instance exited with %v", err)
	}
}

// sendUntil sends one job after another on a connection until stop is closed.
func (l *loadedInstance) sendUntil(stop chan struct{}, client int) {
	c := l.node.dial()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("load-%d-%d", client, i)
		// The limit is per request: on a slow machine one for the whole connection would run out.
		if err := c.SetDeadline(time.Now().Add(2 * waitLimit)); err != nil {
			l.t.Error(err)
			return
		}
		// A rejection is a valid response: the failing jobs make the workers suspect for a while.
		resp, body := c.send(jobRequest(id, "quote", "4000m", id)).readResponse()
		if resp.StatusCode == 503 {
			c = l.node.dial()
		} else if resp.StatusCode != 200 || body != "did "+id {
			l.t.Errorf("%s: %d %q", id, resp.StatusCode, body)
			return
		}
	}
}

// attemptsOfFailingJob sends a job that fails at every worker, and returns the number of its attempts.
func (l *loadedInstance) attemptsOfFailingJob(id string) int {
	l.t.Helper()
	eventually(l.t, "the job is admitted", func() bool {
		resp, _ := l.node.dial().send(jobRequest(id, "quote", "2000m", "bad")).readResponse()
		if resp.StatusCode == 200 {
			l.t.Errorf("%s is served, although every worker fails it", id)
		}
		return resp.Header.Get("X-Refusal") == "" // on a slow machine the instance's lease may have expired
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[id]
}
