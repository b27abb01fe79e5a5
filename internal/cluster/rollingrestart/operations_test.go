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
	// startWith returns a function that calls Start with changed options.
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
		"without n1 there is no majority of the 2": func() (Plan, error) {
			return Start(Plan{}, options, members[:2])
		},
		`no instance "n9"; its instances are n1, n2, n3`: startWith(
			func(o *Options) { o.Instances = []string{"n9"} }),
		"--out must be at least 1, got 0":             startWith(func(o *Options) { o.MaxUnavailable = 0 }),
		"--within must be between 1s and 24h, got 0s": startWith(func(o *Options) { o.Timeout = 0 }),
		"is not finished (rolling: 0 restarted, 0 restarting, 3 waiting)": func() (Plan, error) {
			return Start(active, options, members)
		},
		"nothing to resume: rolling":          func() (Plan, error) { return Resume(active) },
		"nothing to stop: no rolling restart": func() (Plan, error) { return Stop(Plan{}) },
		"nothing to undo: no rolling restart": func() (Plan, error) { return Undo(Plan{}) },
		"name fewer": func() (Plan, error) {
			return Start(Plan{}, options, many)
		},
	} {
		if _, err := operate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got the error %v, want %q", err, want)
		}
	}
}
