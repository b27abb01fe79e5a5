package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// busyWorker is a trip worker with some slots and no queue: it turns away what does not fit. Some of these
// answers come twice, the second one some milliseconds late.
type busyWorker struct {
	name    string
	world   *world
	back    func(id string) string // the node's address for a request's call-backs
	slots   int
	work    time.Duration
	second  time.Duration // how late the second answer comes
	share   float64       // how many answers come twice
	l       net.Listener
	mu      sync.Mutex
	running int
	took    []attempt
	twice   int
}

func (b *busyWorker) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.l = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return nil
}

// serve answers the requests of a connection, one after the other.
func (b *busyWorker) serve(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(c, text)
	}
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Request-ID")
		switch {
		case r.Method == http.MethodPost && b.take(id):
			time.Sleep(2 * time.Millisecond)
			write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		case r.Method == http.MethodPost:
			answer := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
			write(answer)
			if b.answersTwice() {
				late := time.Millisecond + rand.N(b.second)
				b.world.logf("worker %s: the answer for %s comes once more in %v", b.name, id, late)
				time.AfterFunc(late, func() { write(answer) })
			}
		case r.URL.Path == "/_load":
			text := "TEXT pending=0, served_ps=5, svc_ms=100, x0=2"
			write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
		default:
			write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func (b *busyWorker) answersTwice() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.world.trouble || rand.Float64() >= b.share {
		return false
	}
	b.twice++
	return true
}

// take takes a job if a slot is free.
func (b *busyWorker) take(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running >= b.slots {
		b.world.logf("worker %s: %s turned away", b.name, id)
		return false
	}
	b.running++
	b.took = append(b.took, attempt{worker: b.name, id: id, at: b.world.now()})
	b.world.logf("worker %s: %s begins", b.name, id)
	time.AfterFunc(b.work/2+rand.N(b.work), func() { b.done(id) })
	return true
}

func (b *busyWorker) done(id string) {
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	b.world.logf("worker %s: %s is done", b.name, id)
	text, _ := json.Marshal(map[string]any{"id": id, "from": b.name, "state": "done", "result": "ok " + id})
	for range 10 {
		r, err := http.Post("http://"+b.back(id)+"/v1/job-events", "application/json", bytes.NewReader(text))
		if err == nil {
			r.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// secondAnswers plays bursts of jobs that must not run twice to workers that turn some of them away.
func secondAnswers(w *world) (v verdict) {
	d := startDiscovery(w)
	addresses := map[string]string{"n0": freeAddress(), "n1": freeAddress()}
	var workers []*busyWorker
	for n := range 8 {
		b := &busyWorker{name: fmt.Sprintf("s-%04d", n), world: w, slots: 3,
			back: func(id string) string { return addresses[id[:2]] },
			work: 150 * time.Millisecond, second: 5 * time.Millisecond, share: 0.5}
		if err := b.listen(); err != nil {
			return verdict{notRun: err.Error()}
		}
		workers = append(workers, b)
		d.add(entry{ID: b.name, Address: b.l.Addr().String(), Zone: []string{"ruwi", "seeb"}[n%2],
			Kind: "eight-core", Cell: n / 4, Lifecycle: "SERVING", Weight: 1})
	}
	for n, name := range []string{"n0", "n1"} {
		set := settings(n, 2)
		class := set["classes"].([]any)[1].(map[string]any)
		class["effect"] = "fragile" // on this day trip-book must not run twice
		path, err := w.nodeConfigWith(name, addresses[name], d.address(), n, set)
		if err != nil {
			return verdict{notRun: err.Error()}
		}
		if _, err := w.spawn(name, w.run, "BALANCER_CONFIG="+path, "BALANCER_NAME="+name,
			"BALANCER_LISTEN="+addresses[name], "BALANCER_DISCOVERY="+d.address(), "TMPDIR="+w.dir); err != nil {
			return verdict{notRun: err.Error()}
		}
	}
	for name, address := range addresses {
		if eventually(20*time.Second, func() bool { return ready(address) }) != nil {
			return verdict{notRun: name + " is not ready"}
		}
	}
	c := newClients(w)
	c.class, c.timeout = "trip-book", "15000m"
	for end := w.now() + 80*time.Second; w.now() < end; {
		for name, address := range addresses {
			id := fmt.Sprintf("%s-%06d", name, c.next.Add(1))
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.job(id, address)
			}()
			time.Sleep(rand.N(8 * time.Millisecond))
		}
	}
	c.wg.Wait()
	time.Sleep(time.Second)
	by, twice := map[string][]string{}, 0
	for _, b := range workers {
		b.mu.Lock()
		twice += b.twice
		for _, a := range b.took {
			by[a.id] = append(by[a.id], fmt.Sprintf("%s at %.3f", b.name, a.at.Seconds()))
		}
		b.mu.Unlock()
	}
	w.logf("%d answers came twice; clients' answers: %v", twice, c.counts)
	for id, list := range by {
		if len(list) > 1 {
			v.breaks = append(v.breaks, fmt.Sprintf("%s ran %d times: %s", id, len(list), strings.Join(list, ", ")))
		}
	}
	return v
}
