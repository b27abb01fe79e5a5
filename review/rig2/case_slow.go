package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// killAfter is when SIGKILL follows SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s.
	killAfter = 3*time.Second + 700*time.Millisecond
	// excusedUntil: what SIGKILL finds unanswered is lost if it came more than 0.7 s after SIGTERM.
	excusedUntil = 700 * time.Millisecond
	// writeStep is the pause between two writes of a slow client.
	writeStep = 100 * time.Millisecond
)

// slowJob is a job of a client that writes slowly.
type slowJob struct {
	id       string
	lastByte time.Duration // when the last byte was written; 0: it could not be written
	answer   string        // the whole answer's status; empty: none
	err      error
}

// slowClient is a client with a connection that it keeps.
type slowClient struct {
	world *world
	c     net.Conn
	in    *bufio.Reader
}

// job sends a job in pieces over the given time and waits for its answer.
func (s *slowClient) job(id, class string, over time.Duration) *slowJob {
	j := &slowJob{id: id}
	steps := max(int(over/writeStep), 1)
	body := strings.Repeat("t", 10*steps)
	fmt.Fprintf(s.c, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: muscat\r\nX-Timeout: 15000m\r\nIdempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n", id,
		class, id, len(body))
	for n := range steps {
		if over > 0 {
			time.Sleep(writeStep)
		}
		if _, err := io.WriteString(s.c, body[10*n:10*n+10]); err != nil {
			j.err = err
			return j
		}
	}
	j.lastByte = s.world.now()
	s.world.logf("client: the last byte of %s is written", id)
	r, err := http.ReadResponse(s.in, nil)
	if err == nil {
		_, err = io.ReadAll(r.Body)
	}
	if err != nil {
		j.err = err
	} else {
		j.answer = r.Status
	}
	s.world.logf("client: %s: answer %q, %v", id, j.answer, j.err)
	return j
}

// slowWriters restarts a node as planned while some clients write their jobs slowly.
func slowWriters(w *world) (v verdict) {
	d := startDiscovery(w)
	f := &fleet{world: w, work: 2700 * time.Millisecond}
	addresses := map[string]string{"n0": freeAddress(), "n1": freeAddress()}
	f.back = func(id string) string { return addresses[id[:2]] }
	for n := range 8 {
		name := fmt.Sprintf("s-%04d", n)
		d.add(entry{ID: name, Address: f.start(name), Zone: []string{"ruwi", "seeb"}[n%2], Kind: "slow-six",
			Cell: n / 4, Lifecycle: "SERVING", Weight: 1})
	}
	nodes := map[string]*process{}
	for n, name := range []string{"n0", "n1"} {
		path, err := w.nodeConfig(name, n, 2, addresses[name], d.address())
		if err == nil {
			nodes[name], err = w.spawn(name, w.run, "BALANCER_CONFIG="+path, "BALANCER_NAME="+name,
				"BALANCER_LISTEN="+addresses[name], "BALANCER_DISCOVERY="+d.address(), "TMPDIR="+w.dir)
		}
		if err != nil {
			return verdict{notRun: err.Error()}
		}
	}
	for name, address := range addresses {
		if eventually(20*time.Second, func() bool { return ready(address) }) != nil {
			return verdict{notRun: name + " is not ready"}
		}
	}
	var wg sync.WaitGroup
	jobs, clients := make([]*slowJob, 10), make([]*slowClient, 10)
	for n := range clients { // each has had a job on its connection before
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", addresses["n0"])
			if err != nil {
				return
			}
			clients[n] = &slowClient{world: w, c: c, in: bufio.NewReader(c)}
			clients[n].job(fmt.Sprintf("n0-1%05d", n), "trip-book", 0)
		}()
	}
	wg.Wait()
	for n := range clients {
		if clients[n] == nil {
			return verdict{notRun: "a client is not connected"}
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			jobs[n] = clients[n].job(fmt.Sprintf("n0-2%05d", n), "trip-book",
				1400*time.Millisecond+time.Duration(n%4)*writeStep)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	term := w.now()
	killed := term + time.Hour
	if w.trouble {
		w.logf("SIGTERM to n0")
		nodes["n0"].signal(syscall.SIGTERM)
		time.Sleep(killAfter)
		select {
		case <-nodes["n0"].exited:
		default:
			killed = w.now()
			w.logf("SIGKILL to n0")
			nodes["n0"].signal(syscall.SIGKILL)
		}
	}
	wg.Wait()
	for _, j := range jobs {
		if j.lastByte > term+excusedUntil+socketSlack && j.answer == "" {
			v.breaks = append(v.breaks, fmt.Sprintf("%s, whose last byte came %.3f s after SIGTERM, got no whole "+
				"answer up to SIGKILL at %.3f: %v", j.id, (j.lastByte-term).Seconds(), killed.Seconds(), j.err))
		}
	}
	return v
}
