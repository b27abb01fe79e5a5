package schedule

import (
	"time"

	"moorstack/internal/cluster/calendar"
)

// resultGrace is how long after its occurrence a firing may have no result at the end of a run. It is shorter
// than faultFreePeriod, the last part of a run, which is without faults.
const resultGrace = 9 * time.Second

// audit compares what the instances did with what the group agreed on. It returns the number of occurrences
// that were intended.
func (s *simulation) audit() int {
	events := s.replica.state.PopEvents()
	intents, results := s.auditEvents(events)
	s.auditStarts(intents)
	for key, e := range intents {
		r, finished := results[e.Number]
		switch {
		case finished && r == Succeeded && len(s.starts[key]) == 0:
			s.t.Errorf("seed %d: %s has succeeded but was never started", s.seed, key)
		case !finished && s.replica.state.open[e.Number] != nil && s.now-s.dueAt(e.At) > resultGrace &&
			s.speed == 1:
			s.t.Errorf("seed %d: %s has no result long after it was due", s.seed, key)
		}
	}
	s.auditComplete(events)
	return len(intents)
}

// auditEvents checks that each occurrence was intended once and has at most one result. It returns the
// intents by key and the results by firing number.
func (s *simulation) auditEvents(events []Event) (intents map[string]Event, results map[uint64]Result) {
	intents, results = map[string]Event{}, map[uint64]Result{}
	for _, e := range events {
		switch e.Kind {
		case EventIntended:
			if earlier, twice := intents[e.Key]; twice {
				s.t.Errorf("seed %d: %s was intended twice, as firings %d and %d", s.seed, e.Key,
					earlier.Number, e.Number)
			}
			intents[e.Key] = e
		case EventMissed:
			s.t.Errorf("seed %d: %d occurrences of %s were missed, want none", s.seed,
				e.At, e.Key)
		case EventFinished:
			if r, twice := results[e.Number]; twice {
				s.t.Errorf("seed %d: %s has two results, %v and %v", s.seed, e.Key, r, e.Result)
			}
			results[e.Number] = e.Result
		case EventAdopted:
		}
	}
	return intents, results
}

// auditStarts checks that jobs were started only after an intent and started again only after an adoption.
func (s *simulation) auditStarts(intents map[string]Event) {
	triggers := map[string]Trigger{}
	for variant := range policyVariants {
		for _, t := range s.policyVariant(variant).Triggers {
			triggers[t.Name] = t
		}
	}
	for key, starts := range s.starts {
		name := key[:1]
		if triggers[name].Class == "once" && len(starts) > 1 {
			s.t.Errorf("seed %d: %s, which may not be sent again, was started %d times: %+v", s.seed, key,
				len(starts), starts)
		}
		for k, a := range starts {
			if intents[key].Number != a.number || k > 0 && !a.redelivered {
				s.t.Errorf("seed %d: %s was started without an intent, or again without an adoption: %+v",
					s.seed, key, starts)
			}
		}
	}
}

// dueAt converts Unix seconds to a time of the monotonic clock, for a simulation with speed 1.
func (s *simulation) dueAt(unix int64) time.Duration {
	return time.Duration(unix-s.startUnix) * time.Second
}

// auditComplete checks that no occurrence of the triggers that were never changed was omitted: each intended
// one must be followed by the next one in the calendar.
func (s *simulation) auditComplete(events []Event) {
	zone, err := s.zones.Lookup("Europe/Berlin")
	if err != nil {
		s.t.Fatal(err)
	}
	for _, name := range []string{"a", "b", "d"} {
		t := s.policy.Triggers[s.policy.indexOf(name)]
		recurrence, err := calendar.Parse(t.Expression, zone, t.Rules)
		if err != nil {
			s.t.Fatal(err)
		}
		at := int64(0)
		for _, e := range events {
			if e.Kind != EventIntended || e.Key[:1] != name {
				continue
			}
			if at > 0 {
				if o, _ := recurrence.Next(at); o.At != e.At {
					s.t.Errorf("seed %d: after %d: got %s at %d, want %d (%v)", s.seed, at, e.Key,
						e.At, o.At, o.LocalTime)
				}
			}
			at = e.At
		}
		if at == 0 {
			continue
		}
		o, ok := recurrence.Next(at)
		if ok && o.At+t.jitterSeconds() < s.replica.state.ClusterTime-30*max(s.speed/10, 1) {
			s.t.Errorf("seed %d: %s at %d was not intended by the cluster time %d", s.seed, name, o.At,
				s.replica.state.ClusterTime)
		}
	}
}
