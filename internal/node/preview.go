package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/cluster/weights"
)

const (
	// maxPreviewNames is how many triggers, or accounts, a preview lists.
	maxPreviewNames = 50
	// previewOccurrences is how many occurrences of each trigger a preview shows.
	previewOccurrences = 5
)

// PreviewTriggers implements controlapi.Host. It describes the effects of a document, one per line: the next
// occurrences of triggers, the rates of accounts, and how many accounts and triggers would change owner.
func (i *Instance) PreviewTriggers(d *clusterstate.Document, from time.Time) ([]string, error) {
	triggers, err := previewTriggers(d, i.zones, from)
	if err != nil {
		return nil, err
	}
	view := i.env.runner.Status().PlacementView
	return slices.Concat(triggers, previewAccounts(d), previewOwners(d, view)), nil
}

// previewAccounts returns the rates of accounts, and how much of them each instance may admit by itself.
func previewAccounts(d *clusterstate.Document) (lines []string) {
	p := rateLimitPolicy(d)
	names := slices.Sorted(maps.Keys(p.AccountLimits))
	for _, name := range names[:min(len(names), maxPreviewNames)] {
		lines = append(lines, fmt.Sprintf("account %s: %s", name, p.Describe(p.AccountLimits[name])))
	}
	if n := len(names) - maxPreviewNames; n > 0 {
		lines = append(lines, fmt.Sprintf("and %d more accounts", n))
	}
	if p.DefaultLimit != nil {
		lines = append(lines, "any other account: "+p.Describe(*p.DefaultLimit))
	}
	return lines
}

// previewOwners returns how a document's weights would change ownership among the instances of a view.
func previewOwners(d *clusterstate.Document, current placement.View) (lines []string) {
	proposed := placement.View{Members: slices.Clone(current.Members)}
	byName, _ := weights.Parse(d.Sections[weights.Section])
	for k := range proposed.Members {
		m := &proposed.Members[k]
		m.Weight = byName[m.Name]
		delete(byName, m.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		lines = append(lines, fmt.Sprintf("weight.%s: no instance of that name has a session now", name))
	}
	if slices.Equal(current.Members, proposed.Members) {
		return lines
	}
	before, after := placement.NewTable(current), placement.NewTable(proposed)
	ownedBefore, ownedAfter := before.OwnedFractions(), after.OwnedFractions()
	for _, m := range proposed.Members {
		lines = append(lines, fmt.Sprintf("%s owns %.0f%% of accounts and triggers, %.0f%% now", m.Name,
			100*ownedAfter[m.Member], 100*ownedBefore[m.Member]))
	}
	return append(lines, fmt.Sprintf("%.0f%% of them change hands", 100*before.MovedFraction(after)))
}

// previewTriggers returns the next occurrences of each trigger.
func previewTriggers(d *clusterstate.Document, zones *calendar.ZoneDB, from time.Time) ([]string, error) {
	p := schedulePolicy(d)
	recurrences, err := p.Recurrences(zones)
	if err != nil || len(recurrences) == 0 {
		return nil, err
	}
	lines := []string{fmt.Sprintf("zone rules here: zones = \"%016x\"", zones.RulesVersion(p.ZoneNames()))}
	for k, recurrence := range recurrences[:min(len(recurrences), maxPreviewNames)] {
		lines = append(lines, previewTrigger(&p.Triggers[k], recurrence, from))
	}
	if n := len(recurrences) - maxPreviewNames; n > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", n))
	}
	return lines, nil
}

func previewTrigger(t *schedule.Trigger, recurrence *calendar.Recurrence, from time.Time) string {
	if t.Paused {
		return t.Name + ": paused"
	}
	line := t.Name + " (" + t.Zone + "):"
	at := from.Unix()
	for range previewOccurrences {
		o, ok := recurrence.Next(at)
		if !ok {
			break
		}
		at = o.At
		line += " " + o.LocalTime.String()
		if o.Adjustment != calendar.Unadjusted {
			line += fmt.Sprintf(" (at %s: %v)", time.Unix(o.WallClock, 0).UTC().Format("01-02T15:04"),
				o.Adjustment)
		}
	}
	return line
}
