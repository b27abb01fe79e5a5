package node

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/consensus"
)

// TestClocksEnv is the environment variable that must be "yes" for a configuration with a test clock or test
// zone rules to be accepted.
const TestClocksEnv = "MOORSTACK_TEST_CLOCKS"

// maxClockRate bounds how fast a test clock runs, relative to the boot clock.
const maxClockRate = 1e6

// testClock is a wall clock that a test sets by a file. When the boot clock, which can't be set, shows Boot,
// the test clock shows Wall. It runs Rate times as fast as the boot clock.
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
		err = fmt.Errorf("rate must be above 0 and at most 1e6, got %v", c.Rate)
	}
	return c, err
}

// at returns the clock's time for a time on the boot clock.
func (c testClock) at(boot time.Duration) time.Time {
	elapsed := float64(int64(boot)-c.Boot) * c.Rate
	return time.Unix(0, c.Wall+int64(elapsed))
}

// checkTestsAllowed returns nil if settings for tests are allowed, or an error that says how to allow them.
func checkTestsAllowed(subject string) error {
	if os.Getenv(TestClocksEnv) == "yes" {
		return nil
	}
	return fmt.Errorf("%s for tests: take the line out, or start the program with %s=yes", subject,
		TestClocksEnv)
}

// zoneRules returns the machine's zone rules, or, for tests, rules that differ from those of other instances.
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

// wallClock returns the configured test clock, or the machine's clock. The result may be called on the
// runner's goroutine only.
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
		// The file is read each time, because a test may step the clock. An incomplete file is ignored.
		if now, err := readTestClock(c.Test.Clock); err == nil {
			last = now
		}
		return last.at(consensus.BootTime())
	}, nil
}
