package rollingrestart

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Bounds of Options.Timeout.
const (
	minTimeout = time.Second
	maxTimeout = 24 * time.Hour
)

// Member is a member of the group at the start of a rolling restart.
type Member struct {
	ID    uint64
	Name  string
	Zone  string
	Voter bool
}

// Options are an operator's options for a rolling restart.
type Options struct {
	Author          string
	MaxUnavailable  int
	Timeout         time.Duration
	AllowLastInZone bool
	Instances       []string // names; empty: all
}

// Start returns a new plan for the members, or an error if it can't be carried out.
func Start(current Plan, o Options, members []Member) (Plan, error) {
	if current.Active() && (current.Status != Stopped || current.count(Restarting) > 0) {
		return current, fmt.Errorf("the rolling restart by %s is not finished (%s): finish or undo it first",
			current.Author, current.Progress())
	}
	if err := o.check(members); err != nil {
		return current, err
	}
	p := Plan{Author: o.Author, MaxUnavailable: o.MaxUnavailable, Timeout: o.Timeout,
		AllowLastInZone: o.AllowLastInZone, Status: Rolling}
	for _, m := range members {
		if len(o.Instances) > 0 && !slices.Contains(o.Instances, m.Name) {
			continue
		}
		if err := o.checkMember(m, members); err != nil {
			return current, err
		}
		p.Steps = append(p.Steps, Step{Member: m.ID, Name: m.Name, Zone: m.Zone})
	}
	slices.SortFunc(p.Steps, func(a, b Step) int { return strings.Compare(a.Name, b.Name) })
	return p, p.checkMaxSize()
}

// check returns an error if the options are not valid for a group.
func (o Options) check(members []Member) error {
	if o.MaxUnavailable < 1 {
		return fmt.Errorf("--out must be at least 1, got %d", o.MaxUnavailable)
	}
	if o.Timeout < minTimeout || o.Timeout > maxTimeout {
		return fmt.Errorf("--within must be between 1s and 24h, got %v", o.Timeout)
	}
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	for _, n := range o.Instances {
		if !slices.Contains(names, n) {
			return fmt.Errorf("the group has no instance %q; its instances are %s", n,
				strings.Join(names, ", "))
		}
	}
	return nil
}

// checkMember returns an error if a member can't be restarted.
func (o Options) checkMember(m Member, members []Member) error {
	voters, zones := 0, map[string]int{}
	for _, x := range members {
		if x.Voter {
			voters++
		}
		zones[x.Zone]++
	}
	if m.Voter && voters-1 < majority(voters) {
		return fmt.Errorf("without %s there is no majority of the %d voters: add instances first", m.Name,
			voters)
	}
	if !o.AllowLastInZone && len(zones) > 1 && zones[m.Zone] == 1 {
		return fmt.Errorf("%s is the only instance of zone %s: leave it out with --only, or allow its "+
			"restart with --alone", m.Name, m.Zone)
	}
	return nil
}

// checkMaxSize returns an error if the plan may become too long for a note. A plan grows while it is carried
// out, and must fit into the note in every phase.
func (p Plan) checkMaxSize() error {
	p.Steps = slices.Clone(p.Steps)
	for i := range p.Steps {
		s := &p.Steps[i]
		s.Phase, s.Incarnation, s.RestartAgain = Restarting, math.MaxUint64, true
	}
	p.Undo, p.HaltReason = true, strings.Repeat("-", maxReasonBytes)
	_, err := p.Encode()
	return err
}

func majority(voters int) int { return voters/2 + 1 }

// Stop returns the plan as a stopped one: no further instance is restarted, and those that are restarting are
// awaited.
func Stop(p Plan) (Plan, error) {
	if p.Status != Rolling && p.Status != Halted {
		return p, fmt.Errorf("nothing to stop: %s", p.Progress())
	}
	p.Status, p.HaltReason = Stopped, ""
	return p, nil
}

// Resume returns a stopped or halted plan as one that continues.
func Resume(p Plan) (Plan, error) {
	if p.Status != Stopped && p.Status != Halted {
		return p, fmt.Errorf("nothing to resume: %s", p.Progress())
	}
	p.Status, p.HaltReason = Rolling, ""
	return p, nil
}

// Undo returns a plan that restarts again each instance that was already restarted, the last one first, so
// that whoever starts it can start its previous program. The other instances are skipped.
func Undo(p Plan) (Plan, error) {
	if p.Status == "" || p.Undo {
		return p, fmt.Errorf("nothing to undo: %s", p.Progress())
	}
	p.Undo, p.Status, p.HaltReason = true, Rolling, ""
	p.Steps = slices.Clone(p.Steps)
	slices.Reverse(p.Steps)
	for i := range p.Steps {
		switch s := &p.Steps[i]; s.Phase {
		case Waiting:
			s.Phase = Skipped
		case Restarting:
			s.RestartAgain = true // it is not known whether its process has exited yet
		case Restarted:
			s.Phase, s.Incarnation = Waiting, 0
		}
	}
	return p, nil
}
