package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/weights"
)

// mostLines is how many triggers, or accounts, a preview names.
const mostLines = 50

// PreviewTriggers implements control.Host: what a document would do, a line each: when triggers come next,
// what accounts may send where, and what changes hands.
func (i *Instance) PreviewTriggers(d *clusterstate.Document, from time.Time) ([]string, error) {
	lines, err := i.nextOf(d, from)
	if err != nil {
		return nil, err
	}
	return slices.Concat(lines, accountsOf(d), i.ownersOf(d)), nil
}

// accountsOf says what accounts may send, and what each instance may admit of it by itself.
func accountsOf(d *clusterstate.Document) (lines []string) {
	p := limitsOf(d)
	names := slices.Sorted(maps.Keys(p.AccountLimits))
	for _, name := range names[:min(len(names), mostLines)] {
		lines = append(lines, fmt.Sprintf("account %s: %s", name, p.Describe(p.AccountLimits[name])))
	}
	if n := len(names) - mostLines; n > 0 {
		lines = append(lines, fmt.Sprintf("and %d accounts more", n))
	}
	if p.DefaultLimit != nil {
		lines = append(lines, "any other account: "+p.Describe(*p.DefaultLimit))
	}
	return lines
}

// ownersOf says what other weights would have change hands, of the instances that are there now.
func (i *Instance) ownersOf(d *clusterstate.Document) (lines []string) {
	now := i.runner.Status().PlacementView
	then := placement.View{Members: slices.Clone(now.Members)}
	by, _ := weights.Parse(d.Sections[weights.Section])
	for k := range then.Members {
		m := &then.Members[k]
		m.Weight = by[m.Name]
		delete(by, m.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		lines = append(lines, fmt.Sprintf("weight.%s: no instance of that name has a session now", name))
	}
	if slices.Equal(now.Members, then.Members) {
		return lines
	}
	before, after := placement.NewTable(now), placement.NewTable(then)
	was, is := before.OwnedFractions(), after.OwnedFractions()
	for _, m := range then.Members {
		lines = append(lines, fmt.Sprintf("%s owns %.0f%% of accounts and triggers, %.0f%% now", m.Name,
			100*is[m.Member], 100*was[m.Member]))
	}
	return append(lines, fmt.Sprintf("%.0f%% of them change hands", 100*before.MovedFraction(after)))
}

// nextOf says when each trigger of a document comes next.
func (i *Instance) nextOf(d *clusterstate.Document, from time.Time) ([]string, error) {
	p := triggersOf(d)
	plans, err := p.Recurrences(i.zones)
	if err != nil || len(plans) == 0 {
		return nil, err
	}
	lines := []string{fmt.Sprintf("zone rules here: zones = \"%016x\"", i.zones.RulesVersion(p.ZoneNames()))}
	for k, plan := range plans[:min(len(plans), mostLines)] {
		t := &p.Triggers[k]
		if t.Paused {
			lines = append(lines, t.Name+": paused")
			continue
		}
		line := t.Name + " (" + t.Zone + "):"
		at := from.Unix()
		for range 5 {
			o, ok := plan.Next(at)
			if !ok {
				break
			}
			at = o.At
			line += " " + o.LocalTime.String()
			if o.Adjustment != calendar.Unadjusted {
				line += fmt.Sprintf(
					" (at %s: %v)",
					time.Unix(o.WallClock, 0).UTC().Format("01-02T15:04"),
					o.Adjustment,
				)
			}
		}
		lines = append(lines, line)
	}
	if len(plans) > mostLines {
		lines = append(lines, fmt.Sprintf("and %d more", len(plans)-mostLines))
	}
	return lines, nil
}
