package faultinjection

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestSchedulesAreParsedAndRejected(t *testing.T) {
	names := InstanceNames(3)
	for seed := range uint64(50) {
		drawn := DrawSchedule(seed, names, 20*time.Second)
		read, err := ParseSchedule("s", FormatSchedule(drawn), names)
		if err != nil || len(read) != len(drawn) {
			t.Fatalf("seed %d: parsed %d of %d faults: %v", seed, len(read), len(drawn), err)
		}
		for i := range read {
			if read[i].String() != drawn[i].String() {
				t.Fatalf("seed %d: %q became %q", seed, drawn[i], read[i])
			}
		}
	}
	for text, want := range map[string]string{
		"x stall n1 1s":             `s:1: expected a time since the run's start such as 1.5s, got "x"`,
		"1s":                        "a fault must follow",
		"1s burn n1":                `"burn" is no fault, expected one of ahead, behind, cut, deaf`,
		"1s cut n1":                 "got 1 argument(s), expected 2: nothing gets through",
		"1s stall n9 1s":            `unknown target "n9", expected one of n1 to n3, leader`,
		"1s cut n1 n1":              "n1 is named twice",
		"1s stall n1 -1s":           `duration must be above 0 and at most 1h, got "-1s"`,
		"1s slow n1 n2 0":           `bytes per second must be a whole number of at least 1, got "0"`,
		"1s @agreed kill n1":        `@agreed: unknown step, expected one of acts, ceased, gives, holds`,
		"1s @staged:n7 kill n1":     `@staged: unknown instance "n7", expected one of n1 to n3`,
		"1s @staged":                "a fault must follow the step",
		"1s kill it":                `target "it" requires a step to wait for (@STEP) on the line`,
		"# first\n2s heal\n1s heal": "s:3: time 1s is earlier than 2s",
	} {
		t.Run(text, func(t *testing.T) {
			_, err := ParseSchedule("s", []byte(text), names)
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want %q", err, want)
			}
		})
	}
}

func TestShrinkFindsTheSmallestSchedule(t *testing.T) {
	schedule := DrawSchedule(3, InstanceNames(3), time.Minute)
	needed := []Fault{schedule[4], schedule[17]}
	breaks := func(faults []Fault) bool {
		for _, n := range needed {
			if !slices.ContainsFunc(faults, func(f Fault) bool { return f.String() == n.String() }) {
				return false
			}
		}
		return true
	}
	if got := Shrink(schedule, breaks); len(got) != 2 {
		t.Errorf("%d of %d faults are left, want 2: %v", len(got), len(schedule), got)
	}
}

// A kind without an injector would crash the run with a call of a nil function, and only when a
// schedule contains the kind.
func TestEachFaultKindHasAnInjector(t *testing.T) {
	for kind := range faultKinds {
		if injectors[kind] == nil {
			t.Errorf("%s has no injector", kind)
		}
	}
	for kind := range injectors {
		if _, ok := faultKinds[kind]; !ok {
			t.Errorf("%s has an injector but no syntax", kind)
		}
	}
}
