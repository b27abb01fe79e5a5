package faultinjection

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"
)

// A recorded seed must draw the same faults in every later version.
func TestDrawnSchedulesAreFrozen(t *testing.T) {
	hash := sha256.New()
	for seed := range uint64(300) {
		names := InstanceNames(3 + int(seed%5))
		hash.Write(FormatSchedule(DrawSchedule(seed, names, time.Minute)))
		hash.Write(FormatSchedule(LeaderKillSchedule(seed, time.Minute)))
	}
	hash.Write([]byte(FaultHelp() + StepHelp()))
	const want = "580d35feaf587d06c392d1a16275d64610bdcdf2cacdbbd3d4d0aa51684c9101"
	if got := hex.EncodeToString(hash.Sum(nil)); got != want {
		t.Errorf("the drawn schedules or the help have changed: hash %s, want %s", got, want)
	}
}
