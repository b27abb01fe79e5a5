package rollingrestart

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestOperationsThatCanNotBeCarriedOut(t *testing.T) {
	members := []Member{{1, "n1", "a", true}, {2, "n2", "a", true}, {3, "n3", "b", true}}
	options := Options{MaxUnavailable: 1, Timeout: time.Minute, AllowLastInZone: true}
	active, err := Start(Plan{}, options, members)
	if err != nil {
		t.Fatal(err)
	}
	// startWith starts with options of which one is changed.
	startWith := func(change func(*Options)) func() (Plan, error) {
		return func() (Plan, error) {
			o := options
			change(&o)
			return Start(Plan{}, o, members)
		}
	}
	many := make([]Member, 200)
	for k := range many {
		many[k] = Member{uint64(k) << 50, fmt.Sprint("n", k), "a", true}
	}
	for want, operate := range map[string]func() (Plan, error){
		"is the only instance of zone b": startWith(func(o *Options) { o.AllowLastInZone = false }),
		"without n1 there is no majority of 2": func() (Plan, error) {
			return Start(Plan{}, options, members[:2])
		},
		`no instance "n9"; n1, n2, n3 are`: startWith(func(o *Options) { o.Instances = []string{"n9"} }),
		"0 at once is none":                startWith(func(o *Options) { o.MaxUnavailable = 0 }),
		"not a time from 1s to 24h":        startWith(func(o *Options) { o.Timeout = 0 }),
		"is rolling: 0 back, 0 out, 3 to go": func() (Plan, error) {
			return Start(active, options, members)
		},
		"nothing is to be resumed":                 func() (Plan, error) { return Resume(active) },
		"nothing is to be stopped: nothing is und": func() (Plan, error) { return Stop(Plan{}) },
		"nothing is to be undone":                  func() (Plan, error) { return Undo(Plan{}) },
		"name fewer": func() (Plan, error) {
			return Start(Plan{}, options, many)
		},
	} {
		if _, err := operate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
