package faultinjection

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"moorstack/internal/cluster/consensus"
)

// clockFile is what an instance's test clock reads.
type clockFile struct {
	Wall int64   `json:"wall_ns"`
	Boot int64   `json:"boot_ns"`
	Rate float64 `json:"rate"`
}

func newClock(o ClusterOptions) clockFile {
	begin := o.ClockStart
	if begin.IsZero() {
		begin = time.Now()
	}
	return clockFile{begin.UnixNano(), int64(consensus.BootTime()), o.ClockSpeed}
}

// wall is what a right clock shows, Unix nanoseconds, at a time of the clock that all share.
func (c clockFile) wall(at time.Duration) int64 {
	return c.Wall + int64(float64(int64(at)-c.Boot)*c.Rate)
}

// SetClock sets an instance's wall clock so far ahead of the true one.
func (f *Cluster) SetClock(p *Process, ahead time.Duration) error {
	c := f.trueClock
	c.Wall += int64(ahead)
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	// Hazard: who reads it in the midst of a write must find the one or the other.
	path := filepath.Join(f.options.Dir, p.Name+".clock")
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// countExecution notes that a worker has taken a job.
func (f *Cluster) countExecution(_, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executions[key]++
}
