package simulation

import (
	"bytes"
	"reflect"
	"runtime"
	"testing"
)

func TestInvariantsHoldUnderFaults(t *testing.T) {
	for _, n := range []int{3, 5} {
		options := func(seed uint64) Options { return Options{Instances: n, Seed: seed} }
		RunSeeds(0, 50, runtime.NumCPU(), options, func(r Result) {
			if len(r.Violations) > 0 {
				t.Errorf("%d instances, seed %d: %v", n, r.Seed, r.Violations)
			}
		})
	}
}

func TestAcknowledgingBeforeSyncIsFound(t *testing.T) {
	for seed := range uint64(40) {
		r := Run(Options{Instances: 3, Seed: seed, AcknowledgeBeforeSync: true})
		if len(r.Violations) > 0 {
			t.Logf("found by seed %d: %v", seed, r.Violations)
			return
		}
	}
	t.Error("no seed detects a log that acknowledges before it syncs")
}

func TestSameSeedGivesSameRun(t *testing.T) {
	var traceA, traceB bytes.Buffer
	a := Run(Options{Instances: 3, Seed: 7, Trace: &traceA})
	b := Run(Options{Instances: 3, Seed: 7, Trace: &traceB})
	if !reflect.DeepEqual(a, b) || !bytes.Equal(traceA.Bytes(), traceB.Bytes()) {
		t.Error("the same seed produces two different runs")
	}
}
