package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients sends jobs to one node at a steady rate.
type clients struct {
	world  *world
	client *http.Client
	next   atomic.Int64
	wg     sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int

	class, timeout string
}

func newClients(w *world) *clients {
	return &clients{world: w, client: &http.Client{Timeout: 16 * time.Second}, counts: map[string]int{},
		class: "trip-quote", timeout: "5000m"}
}

// send sends jobs to a node every interval until stop is closed. The id names the node.
func (c *clients) send(node, address string, interval time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		id := fmt.Sprintf("%s-%06d", node, c.next.Add(1))
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.job(id, address)
		}()
	}
}

func (c *clients) job(id, address string) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/api", strings.NewReader("trip"))
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Priority-Class", c.class)
	r.Header.Set("X-Tenant-Id", "muscat")
	r.Header.Set("X-Timeout", c.timeout)
	answer := "no answer"
	if resp, err := c.client.Do(r); err == nil {
		_, _ = io.ReadAll(resp.Body)
		resp.Body.Close()
		answer = resp.Status
	}
	c.world.logf("client: %s answered %s", id, answer)
	c.mu.Lock()
	c.counts[answer]++
	c.mu.Unlock()
}

// ready reports whether a node says that it is ready.
func ready(address string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/_health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
