package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// answerSlack: up to half a second after its time an answer only earns nothing; later the request is lost.
	answerSlack = 500 * time.Millisecond
	// floodConnections is how many producers' connections send many commands at once; the front's file allows 256.
	floodConnections = 200
	// floodCommands is how many commands each sends at once.
	floodCommands = 400
	floodFor      = 20 * time.Second
)

// timedJob is a job with the times of its last byte and of its whole answer.
type timedJob struct {
	id             string
	sent, answered time.Duration
	answer         string
}

// sendTimed sends a job on a connection of its own and waits for the answer.
func (w *world) sendTimed(id, address string, timeout time.Duration) timedJob {
	j := timedJob{id: id, answer: "none"}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return j
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: trip-quote\r\n"+
		"X-Tenant-Id: muscat\r\nX-Timeout: %dm\r\nContent-Length: 4\r\n\r\ntrip", id, timeout.Milliseconds())
	j.sent = w.now()
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.ReadAll(r.Body)
	}
	j.answered = w.now()
	if err == nil {
		j.answer = r.Status
	}
	w.logf("client: %s answered %s %.3f s after its last byte", id, j.answer, (j.answered - j.sent).Seconds())
	return j
}

// flood sends commands to the Faktory front, many at once, reads all replies, and begins again.
func flood(address string, until time.Time) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	if _, err := fmt.Fprint(c, "HELLO {\"v\":2}\n"); err != nil {
		return err
	}
	for range 2 { // HI, OK
		if _, err := in.ReadString('\n'); err != nil {
			return err
		}
	}
	for time.Now().Before(until) {
		if _, err := io.WriteString(c, strings.Repeat("INFO\n", floodCommands)); err != nil {
			return err
		}
		for range 2 * floodCommands { // the length and the text of each
			if _, err := in.ReadString('\n'); err != nil {
				return err
			}
		}
	}
	return nil
}

// manyCommands has producers of the Faktory front send many commands at once, and measures when usual clients of
// the platform's front get their answers.
func manyCommands(w *world) (v verdict) {
	d := startDiscovery(w)
	address, faktory := freeAddress(), freeAddress()
	f := &fleet{world: w, work: 300 * time.Millisecond, back: func(string) string { return address }}
	for n := range 8 {
		name := fmt.Sprintf("s-%04d", n)
		d.add(entry{ID: name, Address: f.start(name), Zone: []string{"ruwi", "seeb"}[n%2], Kind: "eight-core",
			Cell: n / 4, Lifecycle: "SERVING", Weight: 1})
	}
	path, err := w.nodeConfig("n0", 0, 2, address, d.address())
	if err != nil {
		return verdict{notRun: err.Error()}
	}
	text, err := os.ReadFile("deploy/faktory.toml")
	if err != nil {
		return verdict{notRun: err.Error()}
	}
	file := filepath.Join(w.dir, "faktory.toml")
	own := strings.Replace(string(text), "127.0.0.1:7419", faktory, 1)
	if err := os.WriteFile(file, []byte(own), 0o600); err != nil {
		return verdict{notRun: err.Error()}
	}
	if _, err := w.spawn("n0", w.run+" --faktory "+file, "BALANCER_CONFIG="+path, "BALANCER_NAME=n0",
		"BALANCER_LISTEN="+address, "BALANCER_DISCOVERY="+d.address(), "TMPDIR="+w.dir); err != nil {
		return verdict{notRun: err.Error()}
	}
	if eventually(20*time.Second, func() bool { return ready(address) }) != nil {
		return verdict{notRun: "n0 is not ready"}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	begin, until := w.now()+3*time.Second, time.Now().Add(3*time.Second+floodFor)
	flooding := false
	for n := 0; w.now() < begin+floodFor; n++ {
		if !flooding && w.trouble && w.now() > begin {
			flooding = true
			w.logf("%d producers send %d commands at once, again and again", floodConnections, floodCommands)
			for range floodConnections {
				go func() {
					if err := flood(faktory, until); err != nil {
						w.logf("a producer's connection ended: %v", err)
					}
				}()
			}
		}
		timeout := 5 * time.Second
		if n%2 == 1 {
			timeout = time.Second // a later try, with what is left of the client's time
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			j := w.sendTimed(fmt.Sprintf("n0-%06d", n), address, timeout)
			mu.Lock()
			defer mu.Unlock()
			counts[j.answer]++
			if late := j.answered - j.sent - timeout - answerSlack - socketSlack; late > 0 {
				v.breaks = append(v.breaks, fmt.Sprintf("%s was answered %s %.3f s after its last byte, with a "+
					"time-out of %v", j.id, j.answer, (j.answered-j.sent).Seconds(), timeout))
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	w.logf("clients' answers: %v", counts)
	return v
}
