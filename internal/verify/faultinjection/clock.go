package faultinjection

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"moorstack/internal/cluster/consensus"
)

// clockFile is the file that an instance reads its wall clock from: at Boot by CLOCK_BOOTTIME it
// shows Wall, Unix nanoseconds, and it runs Rate times as fast.
type clockFile struct {
	Wall int64   `json:"wall_ns"`
	Boot int64   `json:"boot_ns"`
	Rate float64 `json:"rate"`
}

func newClock(o ClusterOptions) clockFile {
	start := o.ClockStart
	if start.IsZero() {
		start = time.Now()
	}
	return clockFile{start.UnixNano(), int64(consensus.BootTime()), o.ClockSpeed}
}

// wall is what the clock shows, Unix nanoseconds, at a time of CLOCK_BOOTTIME.
func (c clockFile) wall(at time.Duration) int64 {
	return c.Wall + int64(float64(int64(at)-c.Boot)*c.Rate)
}

// SetClock sets an instance's wall clock so far ahead of the true one, or behind it.
func (c *Cluster) SetClock(p *Process, ahead time.Duration) error {
	shifted := c.trueClock
	shifted.Wall += int64(ahead)
	b, err := json.Marshal(shifted)
	if err != nil {
		return err
	}
	// Hazard: an instance may read while this is written, and must find the old file or the new one.
	path := filepath.Join(c.options.Dir, p.Name+".clock")
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
