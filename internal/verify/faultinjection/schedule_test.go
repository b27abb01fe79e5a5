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
			t.Fatalf("seed %d: %d of %d faults: %v", seed, len(read), len(drawn), err)
		}
		for i := range read {
			if read[i].String() != drawn[i].String() {
				t.Fatalf("seed %d: %q became %q", seed, drawn[i], read[i])
			}
		}
	}
	for text, want := range map[string]string{
		"x stall n1 1s":             `s:1: "x" is not a time`,
		"1s":                        "a fault must follow",
		"1s burn n1":                `"burn" is no fault; ahead, behind, cut, deaf`,
		"1s cut n1":                 "1 words follow, 2 are wanted: nothing gets through",
		"1s stall n9 1s":            `there is no instance "n9"; n1 to n3 are, and leader`,
		"1s cut n1 n1":              "n1 is named twice",
		"1s stall n1 -1s":           `"-1s" is not a time above 0`,
		"1s slow n1 n2 0":           `"0" is not a number of bytes`,
		"1s @agreed kill n1":        `@agreed: no change or duty has such a step; acts, ceased, gives, holds`,
		"1s @staged:n7 kill n1":     `@staged: there is no instance "n7"; n1 to n3 are`,
		"1s @staged":                "a fault must follow the step",
		"1s kill it":                `"it" is who has taken a step, and the line waits for none`,
		"# first\n2s heal\n1s heal": "s:3: time 1s comes after 2s",
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
		t.Errorf("%d of %d lines are left, 2 are needed: %v", len(got), len(schedule), got)
	}
}

// A kind without an injector would end the run by a nil call, and only when it is drawn.
func TestEachFaultKindHasAnInjector(t *testing.T) {
	for kind := range faultKinds {
		if injectors[kind] == nil {
			t.Errorf("%s has no injector", kind)
		}
	}
	for kind := range injectors {
		if _, ok := faultKinds[kind]; !ok {
			t.Errorf("%s has an injector and no syntax", kind)
		}
	}
}
