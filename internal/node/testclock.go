package node

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/consensus"
)

// TestClocksEnv is the variable of the environment without which a configuration that names a test clock is
// refused.
const TestClocksEnv = "MOORSTACK_TEST_CLOCKS"

// testClock is a wall clock that a test sets, by a file: at Boot on the clock that nobody sets it shows
// Wall, and from there it runs Rate times as fast.
type testClock struct {
	Wall int64   `json:"wall_ns"` // Unix time
	Boot int64   `json:"boot_ns"`
	Rate float64 `json:"rate"`
}

func readTestClock(path string) (c testClock, err error) {
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &c)
	}
	if err == nil && (c.Rate <= 0 || c.Rate > 1e6) {
		err = fmt.Errorf("rate: %v is not above 0 and up to 1e6", c.Rate)
	}
	return c, err
}

// zoneRules are the machine's, or for tests such that no other instance has.
func (c *ServeConfig) zoneRules() (*calendar.ZoneDB, error) {
	if c.Test.Zones == "" {
		return calendar.NewZoneDB(), nil
	}
	if os.Getenv(TestClocksEnv) != "yes" {
		return nil, fmt.Errorf("other zone rules are for tests: take the line out, or start the program "+
			"with %s=yes", TestClocksEnv)
	}
	return calendar.NewZoneDBWithLoader(func(string) (*time.Location,
		error) {
		return time.LoadLocation(c.Test.Zones)
	}), nil
}

// wallClock is the clock that the configuration names, or the machine's.
func (c *ServeConfig) wallClock() (func() time.Time, error) {
	if c.Test.Clock == "" {
		return time.Now, nil
	}
	if os.Getenv(TestClocksEnv) != "yes" {
		return nil, fmt.Errorf("a clock that is set by a file is for tests: take the line out, or "+
			"start the program with %s=yes", TestClocksEnv)
	}
	last, err := readTestClock(c.Test.Clock)
	if err != nil {
		return nil, err
	}
	return func() time.Time {
		// It is read each time: a test steps it. Half a file leaves the clock as it was.
		if now, err := readTestClock(c.Test.Clock); err == nil {
			last = now
		}
		passed := float64(int64(consensus.BootTime())-last.Boot) * last.Rate
		return time.Unix(0, last.Wall+int64(passed))
	}, nil
}
