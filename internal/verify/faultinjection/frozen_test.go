package faultinjection

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"
)

// A seed that was written down must draw the same faults in every later version.
func TestDrawnSchedulesAreFrozen(t *testing.T) {
	hash := sha256.New()
	for seed := range uint64(300) {
		names := InstanceNames(3 + int(seed%5))
		hash.Write(FormatSchedule(DrawSchedule(seed, names, time.Minute)))
		hash.Write(FormatSchedule(LeaderKillSchedule(seed, time.Minute)))
	}
	hash.Write([]byte(FaultHelp() + StepHelp()))
	const want = "e25e828018d487428f1e3c54a2190ade6afde8412cd521a25e4a8307f1995915"
	if got := hex.EncodeToString(hash.Sum(nil)); got != want {
		t.Errorf("the drawn schedules or the help have changed: hash %s, want %s", got, want)
	}
}
