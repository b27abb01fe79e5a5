package node

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/consensus"
)

// TestClocksEnv is the variable of the environment without which a configuration that names a test clock, or
// other zone rules, is rejected. Its value is then "yes".
const TestClocksEnv = "MOORSTACK_TEST_CLOCKS"

// maxClockRate bounds how fast a test clock runs.
const maxClockRate = 1e6

// testClock is a wall clock that a test sets, by a file: at Boot on the boot clock, which nobody sets, it
// shows Wall, and from there it runs Rate times as fast.
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
	if err == nil && (c.Rate <= 0 || c.Rate > maxClockRate) {
		err = fmt.Errorf("rate: %v is not above 0 and up to 1e6", c.Rate)
	}
	return c, err
}

// at is what the clock shows at a moment of the boot clock.
func (c testClock) at(boot time.Duration) time.Time {
	passed := float64(int64(boot)-c.Boot) * c.Rate
	return time.Unix(0, c.Wall+int64(passed))
}

// checkTestsAllowed explains how to allow what is for tests only, where it is not.
func checkTestsAllowed(what string) error {
	if os.Getenv(TestClocksEnv) == "yes" {
		return nil
	}
	return fmt.Errorf("%s for tests: take the line out, or start the program with %s=yes", what,
		TestClocksEnv)
}

// zoneRules are the machine's, or for tests such that no other instance has.
func (c *ServeConfig) zoneRules() (*calendar.ZoneDB, error) {
	if c.Test.Zones == "" {
		return calendar.NewZoneDB(), nil
	}
	if err := checkTestsAllowed("other zone rules are"); err != nil {
		return nil, err
	}
	load := func(string) (*time.Location, error) { return time.LoadLocation(c.Test.Zones) }
	return calendar.NewZoneDBWithLoader(load), nil
}

// wallClock is the clock that the configuration names, or the machine's. It is called on the runner's
// goroutine only.
func (c *ServeConfig) wallClock() (func() time.Time, error) {
	if c.Test.Clock == "" {
		return time.Now, nil
	}
	if err := checkTestsAllowed("a clock that is set by a file is"); err != nil {
		return nil, err
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
		return last.at(consensus.BootTime())
	}, nil
}
