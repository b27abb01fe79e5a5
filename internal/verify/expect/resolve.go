package expect

import (
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/tomlfile"
)

// maxDelay is the longest delay of a job or an event after the endpoint list.
const maxDelay = time.Minute

// resolveNames resolves the names in the file, sets defaults, and rejects invalid values.
func (s *Suite) resolveNames() error {
	if s.Zone != "" {
		if s.settings.Zone = slices.Index(s.knownNames.Zones, s.Zone); s.settings.Zone < 0 {
			return tomlfile.ErrorAt(s.Path, s.raw, "zone", "there is no zone %q", s.Zone)
		}
	}
	for i := range s.Workers {
		if err := s.resolveWorker(i); err != nil {
			return err
		}
	}
	for i := range s.WorkerSets {
		if err := s.resolveWorkerSet(i); err != nil {
			return err
		}
	}
	for i := range s.Jobs {
		if err := s.resolveJob(i); err != nil {
			return err
		}
	}
	seen := map[string]bool{}
	for i := range s.Expectations {
		if err := s.resolveExpectation(i, seen); err != nil {
			return err
		}
	}
	return nil
}

func (s *Suite) resolveWorker(i int) error {
	w := &s.Workers[i]
	state, known := w.Lifecycle.workerState()
	switch {
	case w.Name == "" || s.workers[w.Name] != nil:
		return s.errorAt("worker", i, "the name %q is empty or in use", w.Name)
	case !s.hasZone(w.Zone):
		return s.errorAt("worker", i, "%s: there is no zone %q", w.Name, w.Zone)
	case !s.hasKind(w.Kind):
		return s.errorAt("worker", i, "%s: there is no kind %q", w.Name, w.Kind)
	case !known || state == balancer.Removed:
		return s.errorAt("worker", i, "%s: lifecycle must be SERVING or DRAINING, got %q", w.Name,
			w.Lifecycle)
	case w.Age < 0 || w.FreeSlots < 0 || w.QueueLength < 0:
		return s.errorAt("worker", i, "%s: age, free and queue must not be negative", w.Name)
	}
	s.workers[w.Name] = w
	s.workerSets[""] = append(s.workerSets[""], w)
	return nil
}

func (s *Suite) resolveWorkerSet(i int) error {
	set := &s.WorkerSets[i]
	if set.Name == "" || s.workerSets[set.Name] != nil {
		return s.errorAt("roster", i, "the name %q is empty or in use", set.Name)
	}
	s.workerSets[set.Name] = []*Worker{}
	for _, name := range set.Workers {
		if s.workers[name] == nil {
			return s.errorAt("roster", i, "%s: there is no worker %q", set.Name, name)
		}
		s.workerSets[set.Name] = append(s.workerSets[set.Name], s.workers[name])
	}
	return nil
}

func (s *Suite) resolveJob(i int) error {
	j := &s.Jobs[i]
	switch {
	case j.Name == "" || s.jobs[j.Name] != nil:
		return s.errorAt("job", i, "the name %q is empty or in use", j.Name)
	case j.Class != "" && !s.hasClass(j.Class):
		return s.errorAt("job", i, "%s: there is no class %q", j.Name, j.Class)
	case j.Tenant != "" && !s.hasTenant(j.Tenant):
		return s.errorAt("job", i, "%s: there is no tenant %q", j.Name, j.Tenant)
	case j.Front != "" && j.Front != routing.FrontHTTP && j.Front != routing.FrontFaktory:
		return s.errorAt("job", i, "%s: front must be http or faktory, got %q", j.Name, j.Front)
	case j.ExpectedWork < 0 || j.Timeout < 0:
		return s.errorAt("job", i, "%s: cost and timeout must not be negative", j.Name)
	}
	s.jobs[j.Name] = j
	return nil
}

func (s *Suite) resolveExpectation(i int, seen map[string]bool) error {
	e := &s.Expectations[i]
	switch {
	case e.Name == "" || seen[e.Name]:
		return s.errorAt("expect", i, "the name %q is empty or in use", e.Name)
	case s.jobs[e.Job] == nil:
		return s.errorAt("expect", i, "%s: there is no job %q", e.Name, e.Job)
	case s.workerSets[e.WorkerSet] == nil:
		return s.errorAt("expect", i, "%s: there is no roster %q", e.Name, e.WorkerSet)
	case !isDelay(e.After):
		return s.errorAt("expect", i, "%s: after must be between 0s and 1m, got %v", e.Name,
			time.Duration(e.After))
	}
	seen[e.Name] = true
	if err := s.checkEvents(i, e); err != nil {
		return err
	}
	selectors, err := s.resolveShares(i, e)
	if err != nil {
		return err
	}
	selectors = append(selectors, e.NoAttempts...)
	for _, w := range selectors {
		if err := s.checkSelector(i, e, w); err != nil {
			return err
		}
	}
	if e.Rule != nil && *e.Rule != "" && (s.table == nil || s.table.RuleByName(*e.Rule) == nil) {
		return s.errorAt("expect", i, "%s: there is no rule %q", e.Name, *e.Rule)
	}
	if len(selectors) == 0 && e.Rejected == nil && e.Served == nil && e.MaxAttempts == 0 && e.Rule == nil {
		return s.errorAt("expect", i, "%s: the expectation states no condition, so it can't fail", e.Name)
	}
	return nil
}

func isDelay(d duration) bool { return d >= 0 && time.Duration(d) <= maxDelay }

func (s *Suite) checkEvents(i int, e *Expectation) error {
	for _, v := range e.Events {
		_, knownLifecycle := v.Lifecycle.workerState()
		switch {
		case s.workers[v.Worker] == nil:
			return s.errorAt("expect", i, "%s: events: there is no worker %q", e.Name, v.Worker)
		case !knownLifecycle:
			return s.errorAt("expect", i,
				"%s: events: lifecycle must be SERVING, DRAINING or DELETED, got %q", e.Name, v.Lifecycle)
		case !slices.Contains([]JobResponse{"", RespondOK, RespondError, RespondFull}, v.JobResponse):
			return s.errorAt("expect", i, "%s: events: answers must be ok, error or full, got %q", e.Name,
				v.JobResponse)
		case !isDelay(v.At):
			return s.errorAt("expect", i, "%s: events: at must be between 0s and 1m, got %v", e.Name,
				time.Duration(v.At))
		}
	}
	return nil
}

// resolveShares sets the defaults of the expected shares and returns their selectors.
func (s *Suite) resolveShares(i int, e *Expectation) (selectors []WorkerSelector, err error) {
	for _, list := range [][]AttemptShare{e.FirstAttempts, e.SecondAttempts} {
		for k := range list {
			share := &list[k]
			if share.Fraction == nil {
				all := 1.0
				share.Fraction = &all
			}
			if share.Tolerance == 0 {
				share.Tolerance = defaultTolerance
			}
			fraction, tolerance := *share.Fraction, share.Tolerance
			if !(fraction >= 0 && fraction <= 1) || !(tolerance > 0 && tolerance < 1) {
				return nil, s.errorAt("expect", i,
					"%s: share must be between 0 and 1, within must be above 0 and below 1", e.Name)
			}
			if n := requiredSamples(fraction, tolerance); n > MaxSamples {
				return nil, s.errorAt("expect", i,
					"%s: a share of %v within %v can't be decided: it requires %d samples, the limit is %d",
					e.Name, fraction, tolerance, n, MaxSamples)
			}
			selectors = append(selectors, share.WorkerSelector)
		}
	}
	return selectors, nil
}

func (s *Suite) checkSelector(i int, e *Expectation, w WorkerSelector) error {
	switch {
	case w == (WorkerSelector{}):
		return s.errorAt("expect", i, "%s: a zone, a kind, a pool or a worker is required", e.Name)
	case w.Zone != "" && !s.hasZone(w.Zone):
		return s.errorAt("expect", i, "%s: there is no zone %q", e.Name, w.Zone)
	case w.Kind != "" && !s.hasKind(w.Kind):
		return s.errorAt("expect", i, "%s: there is no kind %q", e.Name, w.Kind)
	case w.Worker != "" && s.workers[w.Worker] == nil:
		return s.errorAt("expect", i, "%s: there is no worker %q", e.Name, w.Worker)
	case w.Pool != "" && (s.table == nil || !s.table.HasPool(w.Pool)):
		return s.errorAt("expect", i, "%s: the rules have no pool %q", e.Name, w.Pool)
	}
	return nil
}
