package clusterstate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxDuration is the longest duration that a document may have.
const maxDuration = 24 * time.Hour

// shareTolerance allows for rounding errors in the sum of the shares.
const shareTolerance = 1e-9

// problems collects the problems of a document or the differences between two documents, one per line.
type problems []string

func (p *problems) add(where, format string, args ...any) {
	*p = append(*p, where+": "+fmt.Sprintf(format, args...))
}

// Validate returns all problems of a document, regardless of the document before it.
func (r Rules) Validate(d *Document) []string {
	var p problems
	p.checkCounts(d)
	p.checkClasses(d.Classes)
	p.checkTenants(d.Tenants)
	p.checkSections(r, d)
	return p
}

func (p *problems) checkCounts(d *Document) {
	if len(d.Classes) == 0 {
		p.add("class", "there must be at least one")
	}
	if len(d.Classes) > maxClasses {
		p.add("class", "there are %d, %d are allowed", len(d.Classes), maxClasses)
	}
	if len(d.Tenants) > maxTenants {
		p.add("tenant", "there are %d, %d are allowed", len(d.Tenants), maxTenants)
	}
}

// checkName checks the name of an entry in an array of tables: it must be valid, and not be in seen.
func (p *problems) checkName(table string, index int, name string, seen map[string]bool) {
	if reason := invalidName(name); reason != "" {
		p.add(fmt.Sprintf("%s[%d]", table, index), "name: %s", reason)
	} else if seen[name] {
		p.add(fmt.Sprintf("%s %q", table, name), "there are two of this name")
	}
	seen[name] = true
}

func (p *problems) checkClasses(classes []Class) {
	seen := map[string]bool{}
	for i, c := range classes {
		p.checkName("class", i, c.Name, seen)
		p.checkClass(fmt.Sprintf("class %q", c.Name), c)
	}
}

func (p *problems) checkClass(where string, c Class) {
	if _, ok := idempotencyValues[c.Idempotency]; !ok {
		p.add(where, "effect: %q is not retryable, dedup or fragile", c.Idempotency)
	}
	if _, ok := keyScopeValues[c.KeyScope]; !ok {
		p.add(where, "key_scope: %q is not all, zone or cell", c.KeyScope)
	}
	if c.Idempotency != "dedup" && (c.KeyScope != "" || c.KeyWindow != 0) {
		p.add(where, "key_scope and window belong to the effect dedup")
	}
	if c.Idempotency == "dedup" && (c.KeyWindow <= 0 || time.Duration(c.KeyWindow) > maxDuration) {
		p.add(where, "window: %v is not above 0 and up to %v", c.KeyWindow, maxDuration)
	}
	if c.Timeout <= 0 || time.Duration(c.Timeout) > maxDuration {
		p.add(where, "give_up: %v is not above 0 and up to %v", c.Timeout, maxDuration)
	}
	if c.LatencyObjective < 0 || c.LatencyObjective > c.Timeout {
		p.add(where, "aim: %v is not from 0 to give_up, %v", c.LatencyObjective, c.Timeout)
	}
	if !(c.ObjectiveStretch >= 0 && c.ObjectiveStretch <= 1000) {
		p.add(where, "aim_stretch: %v is not from 0 to 1000", c.ObjectiveStretch)
	}
	if !(c.PriorityWeight >= 0 && c.PriorityWeight <= 1e9) {
		p.add(where, "worth: %v is not from 0 to 1e9", c.PriorityWeight)
	}
	if !(c.LateShare >= 0 && c.LateShare <= 1) {
		p.add(where, "late_share: %v is not from 0 to 1", c.LateShare)
	}
	if c.MaxAttempts < 0 || c.MaxAttempts > 100 {
		p.add(where, "attempts: %d is not from 0 to 100", c.MaxAttempts)
	}
}

func (p *problems) checkTenants(tenants []Tenant) {
	seen := map[string]bool{}
	sum := 0.0
	for i, t := range tenants {
		p.checkName("tenant", i, t.Name, seen)
		where := fmt.Sprintf("tenant %q", t.Name)
		if !(t.CapacityShare >= 0 && t.CapacityShare <= 1) {
			p.add(where, "share: %v is not from 0 to 1", t.CapacityShare)
		} else {
			sum += t.CapacityShare
		}
		if !(t.QuotaPerSecond >= 0 && t.QuotaPerSecond < 1e9) {
			p.add(where, "allowance_per_s: %v is not a number of requests a second", t.QuotaPerSecond)
		}
	}
	if sum > 1+shareTolerance {
		p.add("tenant", "the shares add up to %.4g, which is more than 1", sum)
	}
}

func (p *problems) checkSections(r Rules, d *Document) {
	if len(d.Sections) > maxSections {
		p.add("section", "there are %d, %d are allowed", len(d.Sections), maxSections)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Sections)) {
		where := fmt.Sprintf("section %q", name)
		if reason := invalidName(name); reason != "" {
			p.add(where, "%s", reason)
		}
		values := d.Sections[name]
		if len(values) > maxKeys {
			p.add(where, "there are %d keys, %d are allowed", len(values), maxKeys)
		}
		for _, key := range slices.Sorted(maps.Keys(values)) {
			if reason := invalidName(key); reason != "" {
				p.add(where, "key %q: %s", key, reason)
			}
		}
		if t := r.typeOf(name); t != nil {
			for _, problem := range t.Validate(r.config(d, name)) {
				p.add(where, "%s", problem)
			}
		}
		if validate := r.Sections[name]; validate != nil {
			for _, problem := range validate(d, values) {
				p.add(where, "%s", problem)
			}
		}
	}
}

// invalidName returns why a text is not a valid name; empty if it is valid.
func invalidName(s string) string {
	switch {
	case s == "":
		return "it is empty"
	case len(s) > maxNameBytes:
		return fmt.Sprintf("it has %d bytes, %d are allowed", len(s), maxNameBytes)
	case strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '"' || r >= 0x7f }):
		return "it is not plain text without blanks"
	}
	return ""
}

// ValidateChange returns all problems of a document as the successor of the current one. They include changes
// that are not possible while instances run.
func (r Rules) ValidateChange(current, next *Document) []string {
	p := problems(r.Validate(next))
	p.checkClassChanges(current.Classes, next.Classes)
	p.checkTenantChanges(current.Tenants, next.Tenants)
	return p
}

func (p *problems) checkClassChanges(current, next []Class) {
	unmatched := map[string]Class{}
	for _, c := range current {
		unmatched[c.Name] = c
	}
	for _, c := range next {
		where := fmt.Sprintf("class %q", c.Name)
		before, ok := unmatched[c.Name]
		if !ok {
			p.add(where, "a class can't be added while instances run: their own files must name it first")
			continue
		}
		delete(unmatched, c.Name)
		if c.Idempotency != before.Idempotency || c.KeyScope != before.KeyScope ||
			c.KeyWindow != before.KeyWindow {
			p.add(where,
				"effect, key_scope and window can't change while instances run: open jobs may have run")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(unmatched)) {
		p.add(fmt.Sprintf("class %q", name),
			"a class can't be removed while instances run: jobs of it may be open")
	}
}

func (p *problems) checkTenantChanges(current, next []Tenant) {
	unmatched := map[string]bool{}
	for _, t := range current {
		unmatched[t.Name] = true
	}
	for _, t := range next {
		if !unmatched[t.Name] {
			p.add(fmt.Sprintf("tenant %q", t.Name), "a tenant can't be added while instances run")
		}
		delete(unmatched, t.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(unmatched)) {
		p.add(fmt.Sprintf("tenant %q", name),
			"a tenant can't be removed while instances run: jobs of it may be open")
	}
}
