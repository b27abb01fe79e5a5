package simulation

import (
	"bytes"
	"reflect"
	"runtime"
	"testing"
)

func TestStories(t *testing.T) {
	for _, n := range []int{3, 5} {
		options := func(seed uint64) Options { return Options{Instances: n, Seed: seed} }
		RunSeeds(0, 50, runtime.NumCPU(), options, func(r Result) {
			if len(r.Violations) > 0 {
				t.Errorf("%d instances, seed %d: %v", n, r.Seed, r.Violations)
			}
		})
	}
}

// The checks find a build that acknowledges before it syncs.
func TestBrokenBuildIsFound(t *testing.T) {
	for seed := range uint64(40) {
		if r := Run(Options{Instances: 3, Seed: seed, AcknowledgeBeforeSync: true}); len(r.Violations) > 0 {
			t.Logf("found by seed %d: %v", seed, r.Violations)
			return
		}
	}
	t.Error("no seed finds the build that acknowledges before it syncs")
}

func TestSameSeedSameStory(t *testing.T) {
	var a, b bytes.Buffer
	ra, rb := Run(Options{Instances: 3, Seed: 7, Trace: &a}), Run(Options{Instances: 3, Seed: 7, Trace: &b})
	if !reflect.DeepEqual(ra, rb) || !bytes.Equal(a.Bytes(), b.Bytes()) {
		t.Error("one seed tells two stories")
	}
}
