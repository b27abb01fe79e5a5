package faultinjection

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"moorstack/internal/cluster/consensus"
)

// clockFile is the content of the file from which an instance reads its wall clock. The clock shows
// Wall, in Unix nanoseconds, when CLOCK_BOOTTIME is Boot, and runs Rate times as fast as that.
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

// wall returns the time that the clock shows, in Unix nanoseconds, when CLOCK_BOOTTIME is at.
func (c clockFile) wall(at time.Duration) int64 {
	return c.Wall + int64(float64(int64(at)-c.Boot)*c.Rate)
}

// SetClock sets an instance's wall clock to the true time plus ahead, which may be negative.
func (c *Cluster) SetClock(p *Process, ahead time.Duration) error {
	shifted := c.trueClock
	shifted.Wall += int64(ahead)
	b, err := json.Marshal(shifted)
	if err != nil {
		return err
	}
	// An instance may read the file at any time, and must find the old or the new content as a whole.
	path := filepath.Join(c.options.Dir, p.Name+".clock")
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
