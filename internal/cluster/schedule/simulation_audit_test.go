package schedule

import (
	"time"

	"moorstack/internal/cluster/calendar"
)

// resultGrace is how long after its occurrence a firing may be without result, in a run that has been calm.
const resultGrace = 9 * time.Second

// audit checks what the instances did against what the group agreed on, and returns how many occurrences were
// intended.
func (s *simulation) audit() int {
	events := s.replica.state.PopEvents()
	intents, results := s.auditEvents(events)
	s.auditStarts(intents)
	for key, e := range intents {
		r, finished := results[e.Number]
		switch {
		case finished && r == Succeeded && len(s.starts[key]) == 0:
			s.t.Errorf("seed %d: %s has ended as done, and nobody started it", s.seed, key)
		case !finished && s.replica.state.open[e.Number] != nil && s.now-s.dueAt(e.At) > resultGrace &&
			s.speed == 1:
			s.t.Errorf("seed %d: %s has no result though all has been well for long", s.seed, key)
		}
	}
	s.auditComplete(events)
	return len(intents)
}

// auditEvents checks that each occurrence was intended once and has one result, and returns the intents by
// key and the results by number.
func (s *simulation) auditEvents(events []Event) (intents map[string]Event, results map[uint64]Result) {
	intents, results = map[string]Event{}, map[uint64]Result{}
	for _, e := range events {
		switch e.Kind {
		case EventIntended:
			if earlier, twice := intents[e.Key]; twice {
				s.t.Errorf("seed %d: %s was intended as %d and %d", s.seed, e.Key, earlier.Number, e.Number)
			}
			intents[e.Key] = e
		case EventMissed:
			s.t.Errorf("seed %d: %d occurrences of %s were missed, and none may be that late", s.seed,
				e.At, e.Key)
		case EventFinished:
			if r, twice := results[e.Number]; twice {
				s.t.Errorf("seed %d: %s has ended as %v and as %v", s.seed, e.Key, r, e.Result)
			}
			results[e.Number] = e.Result
		case EventAdopted:
		}
	}
	return intents, results
}

// auditStarts checks that jobs were started only as intended, and again only if that was agreed on.
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
			s.t.Errorf("seed %d: %s, which may not be repeated, was started %d times: %+v", s.seed, key,
				len(starts), starts)
		}
		for k, a := range starts {
			if intents[key].Number != a.number || k > 0 && !a.redelivered {
				s.t.Errorf("seed %d: %s was started without intent, or again without being adopted: %+v",
					s.seed, key, starts)
			}
		}
	}
}

func (s *simulation) dueAt(unix int64) time.Duration {
	return time.Duration(unix-s.startUnix) * time.Second
}

// auditComplete checks that no occurrence of the triggers that were never changed was omitted: what came
// after each is the next by the calendar.
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
					s.t.Errorf("seed %d: after %d came %s at %d; the calendar has %d (%v)", s.seed, at, e.Key,
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
			s.t.Errorf("seed %d: %s at %d has not come by %d", s.seed, name, o.At,
				s.replica.state.ClusterTime)
		}
	}
}
