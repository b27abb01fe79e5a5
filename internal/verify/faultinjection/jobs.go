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

// JobCounts counts what became of the jobs that were sent.
type JobCounts struct {
	Sent              int `json:"sent"`
	Served            int `json:"served"`
	RejectedByRate    int `json:"refused_by_rates"`    // an account had used its rate
	RejectedByLease   int `json:"refused_by_sessions"` // while a change took hold, or without a lease
	RejectedOtherwise int `json:"refused"`
	Failed            int `json:"failed"`
	Unanswered        int `json:"lost"` // no answer: the process died, or stood still for the client's time
	WithoutRetryAfter int `json:"refused_without_return"`
	UnknownStatus     int `json:"answers_of_other_kinds"`
}

// clientTimeout is for how long a client waits.
const clientTimeout = 6 * time.Second

// sendJobs sends to an instance at a rate of its own, whatever that does.
func (f *Cluster) sendJobs(ctx context.Context, p *Process, into *JobCounts, mu *sync.Mutex) {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(time.Duration(float64(time.Second) / f.options.JobsPerSecond))
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
			f.sendJob(client, p, fmt.Sprintf("%s-%d-%d", p.Name, time.Now().UnixNano(), n), into, mu)
		})
	}
}

func (f *Cluster) sendJob(client *http.Client, p *Process, id string, into *JobCounts, mu *sync.Mutex) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.FrontAddress+"/job", strings.NewReader("x"))
	if err != nil {
		return
	}
	for k, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "trip-quote",
		"X-Tenant-Id": "muscat", "X-Timeout": "5000m", "X-Cost": "2000"} {
		req.Header.Set(k, v)
	}
	if f.options.Accounts > 0 {
		// Each account's calls come in at all instances, and for a second at a time mostly at one.
		n := rand.IntN(f.options.Accounts)
		if second := int(time.Now().Unix()); rand.IntN(2) == 0 {
			n = (second + slices.Index(f.Processes, p)) % f.options.Accounts
		}
		name := fmt.Sprintf("acct-%d", n)
		// And half of the calls are of the many that have no line of their own.
		if f.options.UnlistedAccounts > 0 && rand.IntN(2) == 0 {
			name = fmt.Sprintf("name-%d", rand.IntN(f.options.UnlistedAccounts))
		}
		req.Header.Set("X-Account", name)
	}
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		f.recordUnanswered(id)
	}
	mu.Lock()
	defer mu.Unlock()
	switch {
	case err != nil:
		into.Unanswered++
	case resp.StatusCode == http.StatusOK:
		into.Served++
	case resp.StatusCode == http.StatusServiceUnavailable:
		if resp.Header.Get("Retry-After") == "" {
			into.WithoutRetryAfter++
		}
		if strings.Contains(resp.Header.Get("X-Refusal"), "has used its rate") {
			into.RejectedByRate++
		} else if resp.Header.Get("X-Refusal") != "" {
			into.RejectedByLease++
		} else {
			into.RejectedOtherwise++
		}
	case resp.StatusCode == http.StatusBadGateway:
		into.Failed++
	default:
		into.UnknownStatus++
	}
}
