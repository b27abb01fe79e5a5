package faultinjection

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/schedule"
)

var classNames = []string{"trip-quote", "trip-book", "trip-once"}

// triggerSection is the section on triggers that the rig agrees on: of each class, of several paces, some
// spread, some that count against an account. None may be passed over, however late it is.
func triggerSection(o ClusterOptions) map[string]string {
	words := map[string]string{"zone": "Europe/Berlin"}
	if o.ClockSpeed > 1 {
		words["bound"] = "1h" // a reading is some tenths of a second old
	}
	for n := range o.Triggers {
		expr := []string{"* * * * * *", "*/2 * * * * *", "*/3 * * * * *"}[n/3%3]
		if o.ClockSpeed > 1 {
			expr = []string{"* * * * *", "*/2 * * * *", "30 2 * * *"}[n/3%3]
		}
		text := fmt.Sprintf("%s class=%s late=100h cost=2000us fold=both gap=%s", expr, classNames[n%3],
			[]string{"after", "shift"}[n%2])
		if n%5 == 4 {
			text += " spread=2s"
		}
		if n%7 == 6 && o.Accounts > 0 {
			text += " account=acct-2"
		}
		words[fmt.Sprintf("trigger.t%d", n)] = text
	}
	return words
}

// TriggerCounts is what became of triggers' occurrences.
type TriggerCounts struct {
	Intended      int `json:"intended"`
	JobsSubmitted int `json:"begun"` // jobs handed in
	Adopted       int `json:"taken_over"`
	MayHaveRun    int `json:"may_have_run"`
	Rejected      int `json:"refused"`
	Failed        int `json:"failed"`
	// Lateness is from the time of an occurrence to when its job was handed in first.
	Lateness []time.Duration `json:"late_ns"`
}

type triggerAudit struct {
	TriggerCounts
	violations []string
}

// occurrence is what the journals say of one.
type occurrence struct {
	number      string
	at          int64
	submissions []submission
	outcome     string
}

type submission struct {
	auditEntry
	sessionEpoch string
	adopted      bool
	answer       string
}

// awaitOutcomes waits until all that was intended before the faults' end has an outcome.
func (p *run) awaitOutcomes(ctx context.Context, healed time.Duration) {
	before := p.trueClock.wall(healed)
	err := RetryUntil(ctx, "waiting for outcomes", func(context.Context) error {
		all, err := p.readJournals()
		if err != nil {
			return err
		}
		for key, o := range p.occurrences(all, func(string, ...any) {}) {
			if o.outcome == "" && o.at*int64(time.Second) < before {
				return fmt.Errorf("%s has none", key)
			}
		}
		return nil
	})
	if err != nil {
		p.violate("all is well, and still: %v", err)
	}
}

// occurrences reads what the instances have written of triggers.
func (p *run) occurrences(all []auditEntry, broken func(string, ...any)) map[string]*occurrence {
	seen := map[string]*occurrence{}
	of := func(key string) *occurrence {
		o := seen[key]
		if o == nil {
			o = &occurrence{}
			seen[key] = o
		}
		return o
	}
	for _, e := range all {
		if e.event != "agreed" && e.event != "fire" && e.event != "answer" {
			continue
		}
		what, rest := e.event, e.args
		if what == "agreed" {
			what, rest, _ = strings.Cut(rest, " ")
		}
		key, rest, err := unquote(rest)
		words := strings.Fields(rest)
		if err != nil || len(words) < 2 {
			broken("%s: %q is no line on a trigger", e.instance, e.args)
			continue
		}
		switch what {
		case "pass":
			broken("%s: %s occurrences of %s were passed over", e.instance, words[1], key)
		case "intend":
			o := of(key)
			if o.number != "" && o.number != words[0] {
				broken("%s was intended as %s and as %s", key, o.number, words[0])
			}
			o.number = words[0]
			o.at, _ = strconv.ParseInt(words[1], 10, 64)
		case "settle":
			o := of(key)
			if o.outcome != "" && o.outcome != words[3] {
				broken("%s has ended as %s and as %s", key, o.outcome, words[3])
			}
			o.outcome = words[3]
		case "fire":
			o := of(key)
			o.submissions = append(
				o.submissions,
				submission{auditEntry: e, sessionEpoch: words[1], adopted: words[3] == "true"},
			)
			if at, _ := strconv.ParseInt(words[2], 10, 64); o.at == 0 {
				o.at = at
			}
		case "answer":
			o := of(key)
			for k := len(o.submissions) - 1; k >= 0; k-- {
				if o.submissions[k].instance == e.instance && o.submissions[k].answer == "" {
					o.submissions[k].answer = words[1]
					break
				}
			}
		}
	}
	return seen
}

// auditTriggers looks for an occurrence that was intended twice, left out, fired without being intended,
// early, or once more where it may have run and may not be repeated.
func (p *run) auditTriggers(all []auditEntry) (r triggerAudit) {
	broken := func(format string, args ...any) {
		if len(r.violations) < 10 {
			r.violations = append(r.violations, fmt.Sprintf(format, args...))
		}
	}
	seen := p.occurrences(all, broken)
	classes := map[string]string{}
	policy, wrong := schedule.ParsePolicy(
		triggerSection(p.ClusterOptions),
		schedule.KnownNames{Classes: classNames},
	)
	if len(wrong) > 0 {
		broken("the rig's own words on triggers: %v", wrong)
	}
	for _, t := range policy.Triggers {
		classes[t.Name] = t.Class
	}
	for _, key := range slices.Sorted(maps.Keys(seen)) {
		o := seen[key]
		name, _, _ := strings.Cut(key, "@")
		if o.number == "" {
			broken("%s was fired, and nobody has intended it", key)
			continue
		}
		r.Intended++
		p.auditSubmissions(key, classes[name], o, broken)
		r.JobsSubmitted += len(o.submissions)
		for _, f := range o.submissions {
			if f.adopted {
				r.Adopted++
			}
		}
		if len(o.submissions) > 0 && p.ClockSpeed <= 1 {
			r.Lateness = append(
				r.Lateness,
				time.Duration(p.trueClock.wall(o.submissions[0].at)-o.at*int64(time.Second)),
			)
		}
		switch o.outcome {
		case strconv.Itoa(int(schedule.Failed)):
			r.Failed++
		case strconv.Itoa(int(schedule.Rejected)):
			r.Rejected++
		case strconv.Itoa(int(schedule.Unknown)):
			r.MayHaveRun++
		}
	}
	p.auditComplete(policy, seen, broken)
	if r.Intended == 0 {
		broken("no occurrence was intended: there was nothing to audit")
	}
	return r
}

// auditSubmissions looks at one occurrence's jobs.
func (p *run) auditSubmissions(key, class string, o *occurrence, broken func(string, ...any)) {
	ran := 0 // times that it may have
	for k, f := range o.submissions {
		if early := o.at*int64(time.Second) - p.trueClock.wall(f.at); early > int64(1500*time.Millisecond) &&
			p.ClockSpeed <= 1 {
			broken("%s was fired %v early by %s", key, time.Duration(early), f.instance)
		}
		if f.answer != "busy" {
			ran++
		}
		// Again only where the one before was refused, or by who has taken it over.
		if k > 0 && !f.adopted && o.submissions[k-1].answer != "busy" {
			broken("%s was fired by %s, and again by %s, which had not taken it over", key,
				o.submissions[k-1].instance, f.instance)
		}
	}
	p.Cluster.mu.Lock()
	took := p.executions[key]
	p.Cluster.mu.Unlock()
	if class != "trip-quote" && ran > 1 {
		broken("%s, which may not be repeated, was fired %d times where it may have run", key, ran)
	}
	if class == "trip-once" && took > 1 {
		broken("%s, which may not be repeated, was taken by workers %d times", key, took)
	}
	if o.outcome == strconv.Itoa(int(schedule.Succeeded)) && took == 0 {
		broken("%s has ended as done, and no worker has taken it", key)
	}
}

// auditComplete looks whether an occurrence was left out: what follows each is what the calendar says.
func (p *run) auditComplete(policy schedule.Policy, seen map[string]*occurrence, broken func(string,
	...any)) {
	plans, err := policy.Recurrences(calendar.NewZoneDB())
	if err != nil {
		broken("the rig's own words on triggers: %v", err)
		return
	}
	by := map[string][]int64{}
	for key, o := range seen {
		if o.number != "" {
			name, _, _ := strings.Cut(key, "@")
			by[name] = append(by[name], o.at)
		}
	}
	newest := int64(0)
	for _, list := range by {
		slices.SortFunc(list, cmp.Compare)
		newest = max(newest, list[len(list)-1])
	}
	for n, t := range policy.Triggers {
		list := by[t.Name]
		for k, at := range list {
			o, ok := plans[n].Next(at)
			switch {
			case k+1 < len(list) && o.At != list[k+1]:
				broken(
					"%s: after %d comes %d, %d was left out (%v)",
					t.Name,
					at,
					list[k+1],
					o.At,
					o.LocalTime,
				)
			case k+1 == len(list) && ok && o.At < newest-int64(30*max(p.ClockSpeed, 1)):
				broken("%s: %d has not come by %d (%v)", t.Name, o.At, newest, o.LocalTime)
			}
		}
	}
}
