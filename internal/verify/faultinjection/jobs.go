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

// JobCounts counts the jobs that were sent, by their outcome.
type JobCounts struct {
	Sent              int `json:"sent"`
	Served            int `json:"served"`
	RejectedByRate    int `json:"refused_by_rates"`    // the account had exceeded its rate
	RejectedByLease   int `json:"refused_by_sessions"` // during a change, or without a valid lease
	RejectedOtherwise int `json:"refused"`
	Failed            int `json:"failed"`
	Unanswered        int `json:"lost"` // the process died, or was stalled until the client's timeout
	WithoutRetryAfter int `json:"refused_without_return"`
	UnknownStatus     int `json:"answers_of_other_kinds"`
}

const (
	// clientTimeout is how long a client waits for a response.
	clientTimeout = 6 * time.Second
	// maxInFlight is the most jobs that a client has in flight. It skips any beyond that.
	maxInFlight = 400
	// maxIdleConnections is the most idle connections that a client keeps.
	maxIdleConnections = 32
)

// sendJobs sends jobs to an instance at the cluster's rate until ctx ends, without waiting for the
// responses, and counts them in counts, which mu guards.
func (c *Cluster) sendJobs(ctx context.Context, p *Process, counts *JobCounts, mu *sync.Mutex) {
	client := &http.Client{
		Timeout:   clientTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections},
	}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(time.Duration(float64(time.Second) / c.options.JobsPerSecond))
	defer tick.Stop()
	var senders sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			senders.Wait()
			return
		case <-tick.C:
		}
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		mu.Lock()
		counts.Sent++
		mu.Unlock()
		senders.Go(func() {
			defer func() { <-inFlight }()
			id := fmt.Sprintf("%s-%d-%d", p.Name, time.Now().UnixNano(), n)
			resp, err := c.sendJob(client, p, id)
			mu.Lock()
			defer mu.Unlock()
			counts.add(resp, err)
		})
	}
}

// sendJob sends a job and reads the whole response. The body is closed when it returns.
func (c *Cluster) sendJob(client *http.Client, p *Process, id string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.FrontAddress+"/job", strings.NewReader("x"))
	if err != nil {
		return nil, err
	}
	for k, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "trip-quote",
		"X-Tenant-Id": "muscat", "X-Timeout": "5000m", "X-Cost": "2000"} {
		req.Header.Set(k, v)
	}
	if c.options.Accounts > 0 {
		req.Header.Set("X-Account", c.drawAccount(p))
	}
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		c.recordUnanswered(id)
	}
	return resp, err
}

// drawAccount draws the account of a job for an instance. The jobs of each account arrive at all
// instances, but in any second most of them at one. If there are unlisted accounts, half of all jobs
// belong to them.
func (c *Cluster) drawAccount(p *Process) string {
	n := rand.IntN(c.options.Accounts)
	if second := int(time.Now().Unix()); rand.IntN(2) == 0 {
		n = (second + slices.Index(c.Processes, p)) % c.options.Accounts
	}
	if c.options.UnlistedAccounts > 0 && rand.IntN(2) == 0 {
		return fmt.Sprintf("name-%d", rand.IntN(c.options.UnlistedAccounts))
	}
	return fmt.Sprintf("acct-%d", n)
}

// add counts a job by its outcome.
func (j *JobCounts) add(resp *http.Response, err error) {
	switch {
	case err != nil:
		j.Unanswered++
	case resp.StatusCode == http.StatusOK:
		j.Served++
	case resp.StatusCode == http.StatusServiceUnavailable:
		j.addRejection(resp.Header)
	case resp.StatusCode == http.StatusBadGateway:
		j.Failed++
	default:
		j.UnknownStatus++
	}
}

func (j *JobCounts) addRejection(header http.Header) {
	if header.Get("Retry-After") == "" {
		j.WithoutRetryAfter++
	}
	switch reason := header.Get("X-Refusal"); {
	case strings.Contains(reason, "has used its rate"):
		j.RejectedByRate++
	case reason != "":
		j.RejectedByLease++
	default:
		j.RejectedOtherwise++
	}
}

// recordUnanswered records the request id of a job that got no response.
func (c *Cluster) recordUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredJobs = append(c.unansweredJobs, id)
}

// countExecution counts that a worker has received the job of a key.
func (c *Cluster) countExecution(_, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[key]++
}

// executionsOf returns how often workers have received the job of a key.
func (c *Cluster) executionsOf(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[key]
}
