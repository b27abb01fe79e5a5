package faultinjection

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/schedule"
)

const (
	// maxTriggerViolations is the most violations that an audit of triggers lists.
	maxTriggerViolations = 10
	// maxEarly is how long before its time by the true clock an occurrence may be fired. It is not 0
	// because instances use their own clocks.
	maxEarly = 1500 * time.Millisecond
	// settleSeconds is how much older than the newest occurrence of any trigger an occurrence may be without
	// having been intended, in seconds of the machine's time.
	settleSeconds = 30
	// responseBusy is the response to a submission that was rejected and had no effect.
	responseBusy = "busy"
)

var classNames = []string{"trip-quote", "trip-book", "trip-once"}

// triggerSection returns the section of triggers for a change: triggers of each class, with several
// periods, some with a spread and some that belong to an account. No occurrence may be skipped,
// however late it is.
func triggerSection(o ClusterOptions) map[string]string {
	section := map[string]string{"zone": "Europe/Berlin"}
	expressions := []string{"* * * * * *", "*/2 * * * * *", "*/3 * * * * *"}
	if o.ClockSpeed > 1 {
		section["bound"] = "1h" // an instance's clock reading is some tenths of a second old
		expressions = []string{"* * * * *", "*/2 * * * *", "30 2 * * *"}
	}
	for n := range o.Triggers {
		text := fmt.Sprintf("%s class=%s late=100h cost=2000us fold=both gap=%s", expressions[n/3%3],
			classNames[n%3], []string{"after", "shift"}[n%2])
		if n%5 == 4 {
			text += " spread=2s"
		}
		if n%7 == 6 && o.Accounts > 0 {
			text += " account=acct-2"
		}
		section[fmt.Sprintf("trigger.t%d", n)] = text
	}
	return section
}

// TriggerCounts counts the occurrences of triggers, by their outcome.
type TriggerCounts struct {
	Intended      int `json:"intended"`
	JobsSubmitted int `json:"begun"`
	Adopted       int `json:"taken_over"`   // jobs of an occurrence that belonged to another session before
	MayHaveRun    int `json:"may_have_run"` // with an unknown outcome
	Rejected      int `json:"refused"`
	Failed        int `json:"failed"`
	// Lateness holds the times from when an occurrence was due until its job was first submitted.
	Lateness []time.Duration `json:"late_ns"`
}

// triggerAudit holds the results of an audit of triggers.
type triggerAudit struct {
	TriggerCounts
	violations []string
}

func (a *triggerAudit) violate(format string, args ...any) {
	if len(a.violations) < maxTriggerViolations {
		a.violations = append(a.violations, fmt.Sprintf(format, args...))
	}
}

// awaitOutcomes waits until every occurrence that was due before the faults ended has an outcome.
func (r *run) awaitOutcomes(ctx context.Context, healed time.Duration) {
	before := r.trueClock.wall(healed)
	err := RetryUntil(ctx, "waiting for outcomes", func(context.Context) error {
		all, err := r.readJournals()
		if err != nil {
			return err
		}
		var ignored triggerAudit
		for key, o := range readOccurrences(all, &ignored) {
			if o.outcome == "" && o.at*int64(time.Second) < before {
				return fmt.Errorf("%s has no outcome", key)
			}
		}
		return nil
	})
	if err != nil {
		r.violate("no recovery after the faults ended: %v", err)
	}
}

// auditTriggers reports occurrences that were intended twice, skipped, fired without being intended,
// fired too early, or fired again although they may have run and must not be repeated.
func (r *run) auditTriggers(all []auditEntry) (found triggerAudit) {
	occurrences := readOccurrences(all, &found)
	section := triggerSection(r.ClusterOptions)
	policy, problems := schedule.ParsePolicy(section, schedule.KnownNames{Classes: classNames})
	if len(problems) > 0 {
		found.violate("the run's own section of triggers is invalid: %v", problems)
	}
	classes := map[string]string{}
	for _, t := range policy.Triggers {
		classes[t.Name] = t.Class
	}
	for _, key := range sortedKeys(occurrences) {
		r.auditOccurrence(key, classes[triggerOf(key)], occurrences[key], &found)
	}
	r.auditComplete(policy, occurrences, &found)
	if found.Intended == 0 {
		found.violate("no occurrence was intended: nothing to audit")
	}
	return found
}

// triggerOf returns the name of the trigger from an occurrence's key.
func triggerOf(key string) string {
	name, _, _ := strings.Cut(key, "@")
	return name
}

// auditOccurrence checks one occurrence and counts it by its outcome.
func (r *run) auditOccurrence(key, class string, o *occurrence, found *triggerAudit) {
	if o.number == "" {
		found.violate("%s was fired without being intended", key)
		return
	}
	found.Intended++
	r.auditSubmissions(key, class, o, found)
	found.JobsSubmitted += len(o.submissions)
	for _, s := range o.submissions {
		if s.adopted {
			found.Adopted++
		}
	}
	if len(o.submissions) > 0 && r.ClockSpeed <= 1 {
		late := r.trueClock.wall(o.submissions[0].at) - o.at*int64(time.Second)
		found.Lateness = append(found.Lateness, time.Duration(late))
	}
	switch o.outcome {
	case strconv.Itoa(int(schedule.Failed)):
		found.Failed++
	case strconv.Itoa(int(schedule.Rejected)):
		found.Rejected++
	case strconv.Itoa(int(schedule.Unknown)):
		found.MayHaveRun++
	}
}

// auditSubmissions checks the submissions of one occurrence's job.
func (r *run) auditSubmissions(key, class string, o *occurrence, found *triggerAudit) {
	mayHaveRun := 0
	for n, s := range o.submissions {
		early := time.Duration(o.at*int64(time.Second) - r.trueClock.wall(s.at))
		if early > maxEarly && r.ClockSpeed <= 1 {
			found.violate("%s was fired %v early by %s", key, early, s.instance)
		}
		if s.response != responseBusy {
			mayHaveRun++
		}
		// A job may be submitted again only if it was rejected before, or by an instance that has adopted
		// the occurrence.
		if n > 0 && !s.adopted && o.submissions[n-1].response != responseBusy {
			found.violate("%s was fired by %s, and again by %s, which had not adopted it", key,
				o.submissions[n-1].instance, s.instance)
		}
	}
	executions := r.executionsOf(key)
	if class != "trip-quote" && mayHaveRun > 1 {
		found.violate("%s, which must not be repeated, was fired %d times where it may have run", key,
			mayHaveRun)
	}
	if class == "trip-once" && executions > 1 {
		found.violate("%s, which must not be repeated, was received by workers %d times", key, executions)
	}
	if o.outcome == strconv.Itoa(int(schedule.Succeeded)) && executions == 0 {
		found.violate("%s has succeeded, but no worker has received it", key)
	}
}

// auditComplete reports skipped occurrences: each occurrence must be followed by the one that comes
// next by the trigger's calendar.
func (r *run) auditComplete(policy schedule.Policy, occurrences map[string]*occurrence, found *triggerAudit) {
	recurrences, err := policy.Recurrences(calendar.NewZoneDB())
	if err != nil {
		found.violate("the run's own section of triggers is invalid: %v", err)
		return
	}
	times := map[string][]int64{} // by trigger, Unix seconds
	newest := int64(0)
	for key, o := range occurrences {
		if o.number != "" {
			times[triggerOf(key)] = append(times[triggerOf(key)], o.at)
			newest = max(newest, o.at)
		}
	}
	for n, t := range policy.Triggers {
		list := times[t.Name]
		slices.SortFunc(list, cmp.Compare)
		for k, at := range list {
			next, ok := recurrences[n].Next(at)
			switch {
			case k+1 < len(list) && next.At != list[k+1]:
				found.violate("%s: after %d comes %d, but %d was skipped (%v)", t.Name, at, list[k+1],
					next.At, next.LocalTime)
			case k+1 == len(list) && ok && next.At < newest-int64(settleSeconds*max(r.ClockSpeed, 1)):
				found.violate("%s: %d has not been intended by %d (%v)", t.Name, next.At, newest,
					next.LocalTime)
			}
		}
	}
}
