package faultinjection

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Jobs counts what became of the jobs that were sent.
type Jobs struct {
	Sent     int `json:"sent"`
	Served   int `json:"served"`
	Rates    int `json:"refused_by_rates"`    // an account had used its rate
	Policy   int `json:"refused_by_sessions"` // while a change took hold, or without a lease
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Lost     int `json:"lost"` // no answer: the process died, or stood still for the client's time
	Unsaid   int `json:"refused_without_return"`
	Unstated int `json:"answers_of_other_kinds"`
}

// clientsTime is for how long a client waits.
const clientsTime = 6 * time.Second

// jobs sends to an instance at a rate of its own, whatever that does.
func (f *Fleet) jobs(ctx context.Context, p *Process, into *Jobs, mu *sync.Mutex) {
	client := &http.Client{Timeout: clientsTime, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(time.Duration(float64(time.Second) / f.o.Rate))
	defer tick.Stop()
	var wg sync.WaitGroup
	out := make(chan struct{}, 400)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-tick.C:
		}
		select {
		case out <- struct{}{}:
		default:
			continue // as many as a client of ours can have out
		}
		mu.Lock()
		into.Sent++
		mu.Unlock()
		wg.Go(func() {
			defer func() { <-out }()
			f.job(client, p, fmt.Sprintf("%s-%d-%d", p.Name, time.Now().UnixNano(), n), into, mu)
		})
	}
}

func (f *Fleet) job(client *http.Client, p *Process, id string, into *Jobs, mu *sync.Mutex) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.Front+"/job", strings.NewReader("x"))
	if err != nil {
		return
	}
	for k, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "trip-quote",
		"X-Tenant-Id": "muscat", "X-Timeout": "5000m", "X-Cost": "2000"} {
		req.Header.Set(k, v)
	}
	if f.o.Accounts > 0 {
		// Each account's calls come in at all instances, and for a second at a time mostly at one.
		n := rand.IntN(f.o.Accounts)
		if second := int(time.Now().Unix()); rand.IntN(2) == 0 {
			n = (second + slices.Index(f.List, p)) % f.o.Accounts
		}
		name := fmt.Sprintf("acct-%d", n)
		// And half of the calls are of the many that have no line of their own.
		if f.o.Names > 0 && rand.IntN(2) == 0 {
			name = fmt.Sprintf("name-%d", rand.IntN(f.o.Names))
		}
		req.Header.Set("X-Account", name)
	}
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		f.lose(id)
	}
	mu.Lock()
	defer mu.Unlock()
	switch {
	case err != nil:
		into.Lost++
	case resp.StatusCode == http.StatusOK:
		into.Served++
	case resp.StatusCode == http.StatusServiceUnavailable:
		if resp.Header.Get("Retry-After") == "" {
			into.Unsaid++
		}
		if strings.Contains(resp.Header.Get("X-Refusal"), "has used its rate") {
			into.Rates++
		} else if resp.Header.Get("X-Refusal") != "" {
			into.Policy++
		} else {
			into.Refused++
		}
	case resp.StatusCode == http.StatusBadGateway:
		into.Failed++
	default:
		into.Unstated++
	}
}
