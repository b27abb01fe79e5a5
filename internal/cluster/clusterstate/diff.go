package clusterstate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxDiffValueBytes is the length of the longest value that a diff shows in full.
const maxDiffValueBytes = 60

// Diff returns the differences from before to after, one per line.
func Diff(before, after *Document) []string {
	var p problems
	p.diffClasses(before.Classes, after.Classes)
	p.diffTenants(before.Tenants, after.Tenants)
	for _, name := range unionOfKeys(before.Sections, after.Sections) {
		p.diffSection(fmt.Sprintf("section %q", name), before.Sections[name], after.Sections[name])
	}
	if len(p) == 0 && !slices.Equal(before.Encode(), after.Encode()) {
		p.add("document", "the order of its entries")
	}
	return p
}

func (p *problems) diffClasses(before, after []Class) {
	unmatched := map[string]Class{}
	for _, c := range before {
		unmatched[c.Name] = c
	}
	for _, c := range after {
		where := fmt.Sprintf("class %q", c.Name)
		old, ok := unmatched[c.Name]
		if delete(unmatched, c.Name); !ok {
			p.add(where, "added")
			continue
		}
		p.diffValue(where, "effect", old.Idempotency, c.Idempotency)
		p.diffValue(where, "key_scope", old.KeyScope, c.KeyScope)
		p.diffValue(where, "window", old.KeyWindow, c.KeyWindow)
		p.diffValue(where, "give_up", old.Timeout, c.Timeout)
		p.diffValue(where, "aim", old.LatencyObjective, c.LatencyObjective)
		p.diffValue(where, "aim_stretch", old.ObjectiveStretch, c.ObjectiveStretch)
		p.diffValue(where, "worth", old.PriorityWeight, c.PriorityWeight)
		p.diffValue(where, "late_share", old.LateShare, c.LateShare)
		p.diffValue(where, "attempts", old.MaxAttempts, c.MaxAttempts)
	}
	for _, name := range slices.Sorted(maps.Keys(unmatched)) {
		p.add(fmt.Sprintf("class %q", name), "removed")
	}
}

func (p *problems) diffTenants(before, after []Tenant) {
	unmatched := map[string]Tenant{}
	for _, t := range before {
		unmatched[t.Name] = t
	}
	for _, t := range after {
		where := fmt.Sprintf("tenant %q", t.Name)
		old, ok := unmatched[t.Name]
		if delete(unmatched, t.Name); !ok {
			p.add(where, "added")
			continue
		}
		p.diffValue(where, "share", old.CapacityShare, t.CapacityShare)
		p.diffValue(where, "allowance_per_s", old.QuotaPerSecond, t.QuotaPerSecond)
	}
	for _, name := range slices.Sorted(maps.Keys(unmatched)) {
		p.add(fmt.Sprintf("tenant %q", name), "removed")
	}
}

func (p *problems) diffSection(where string, before, after map[string]string) {
	for _, key := range unionOfKeys(before, after) {
		old, inBefore := before[key]
		value, inAfter := after[key]
		switch {
		case !inBefore:
			p.add(where, "%s added: %s", key, abbreviate(value))
		case !inAfter:
			p.add(where, "%s removed", key)
		case old != value:
			p.add(where, "%s %s -> %s", key, abbreviate(old), abbreviate(value))
		}
	}
}

func (p *problems) diffValue(where, key string, before, after any) {
	if before != after {
		p.add(where, "%s %s -> %s", key, abbreviate(fmt.Sprint(before)), abbreviate(fmt.Sprint(after)))
	}
}

// unionOfKeys returns the sorted keys that are in either of two maps.
func unionOfKeys[V any](a, b map[string]V) []string {
	keys := map[string]bool{}
	for key := range a {
		keys[key] = true
	}
	for key := range b {
		keys[key] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// abbreviate formats a value for a diff: it truncates long values, and quotes values that are empty or
// contain whitespace.
func abbreviate(s string) string {
	if s == "" {
		return `""`
	}
	if len(s) > maxDiffValueBytes {
		return fmt.Sprintf("%.57q...", s)
	}
	if strings.ContainsAny(s, "\n\t ") {
		return fmt.Sprintf("%q", s)
	}
	return s
}
