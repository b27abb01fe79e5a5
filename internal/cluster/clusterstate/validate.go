package clusterstate

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"moorstack/internal/cluster/replicated"
)

// SectionValidator checks a section that the program knows. It must be a pure function.
type SectionValidator func(d *Document, values map[string]string) []string

// Rules are what documents are checked by. Every instance of a group must have the same.
type Rules struct {
	// Sections are those with rules that no subject has. One that isn't named may hold anything.
	Sections map[string]SectionValidator
	Types    []replicated.StateMachineType // what is agreed on beside the document; nil: Subjects()
	format   int                           // of the group that judges; 0: what this program knows
}

// longest is the longest time that a document may name.
const longest = 24 * time.Hour

// Validate gives all that is wrong with a document by itself.
func (r Rules) Validate(d *Document) []string {
	var p problems
	if len(d.Classes) == 0 {
		p.add("class", "there must be at least one")
	}
	if len(d.Classes) > maxClasses {
		p.add("class", "there are %d, %d are allowed", len(d.Classes), maxClasses)
	}
	if len(d.Tenants) > maxTenants {
		p.add("tenant", "there are %d, %d are allowed", len(d.Tenants), maxTenants)
	}
	seen := map[string]bool{}
	for i, c := range d.Classes {
		at := fmt.Sprintf("class %q", c.Name)
		if why := badName(c.Name); why != "" {
			p.add(fmt.Sprintf("class[%d]", i), "name: %s", why)
		} else if seen[c.Name] {
			p.add(at, "there are two of this name")
		}
		seen[c.Name] = true
		p.class(at, c)
	}
	clear(seen)
	sum := 0.0
	for i, t := range d.Tenants {
		at := fmt.Sprintf("tenant %q", t.Name)
		if why := badName(t.Name); why != "" {
			p.add(fmt.Sprintf("tenant[%d]", i), "name: %s", why)
		} else if seen[t.Name] {
			p.add(at, "there are two of this name")
		}
		seen[t.Name] = true
		if !(t.CapacityShare >= 0 && t.CapacityShare <= 1) {
			p.add(at, "share: %v is not from 0 to 1", t.CapacityShare)
		} else {
			sum += t.CapacityShare
		}
		if !(t.QuotaPerSecond >= 0 && t.QuotaPerSecond < 1e9) {
			p.add(at, "allowance_per_s: %v is not a number of requests a second", t.QuotaPerSecond)
		}
	}
	if sum > 1+1e-9 {
		p.add("tenant", "the shares add up to %.4g, which is more than 1", sum)
	}
	p.sections(r, d)
	return p
}

// ValidateChange gives all that is wrong with a document as the next one after another:
// what can't change while instances run, with the reason.
func (r Rules) ValidateChange(was, d *Document) []string {
	p := problems(r.Validate(d))
	old := map[string]Class{}
	for _, c := range was.Classes {
		old[c.Name] = c
	}
	for _, c := range d.Classes {
		o, ok := old[c.Name]
		if !ok {
			p.add(
				fmt.Sprintf("class %q", c.Name),
				"a class can't be added while instances run: their own files must name it first",
			)
			continue
		}
		delete(old, c.Name)
		if c.Idempotency != o.Idempotency || c.KeyScope != o.KeyScope || c.KeyWindow != o.KeyWindow {
			p.add(
				fmt.Sprintf("class %q", c.Name),
				"effect, key_scope and window can't change while instances run: open jobs may have run",
			)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		p.add(
			fmt.Sprintf("class %q", name),
			"a class can't be removed while instances run: jobs of it may be open",
		)
	}
	tenants := map[string]bool{}
	for _, t := range was.Tenants {
		tenants[t.Name] = true
	}
	for _, t := range d.Tenants {
		if !tenants[t.Name] {
			p.add(fmt.Sprintf("tenant %q", t.Name), "a tenant can't be added while instances run")
		}
		delete(tenants, t.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(tenants)) {
		p.add(
			fmt.Sprintf("tenant %q", name),
			"a tenant can't be removed while instances run: jobs of it may be open",
		)
	}
	return p
}

type problems []string

func (p *problems) add(at, format string, args ...any) {
	*p = append(*p, at+": "+fmt.Sprintf(format, args...))
}

func (p *problems) class(at string, c Class) {
	if _, ok := effects[c.Idempotency]; !ok {
		p.add(at, "effect: %q is not retryable, dedup or fragile", c.Idempotency)
	}
	if _, ok := scopes[c.KeyScope]; !ok {
		p.add(at, "key_scope: %q is not all, zone or cell", c.KeyScope)
	}
	if c.Idempotency != "dedup" && (c.KeyScope != "" || c.KeyWindow != 0) {
		p.add(at, "key_scope and window belong to the effect dedup")
	}
	if c.Idempotency == "dedup" && (c.KeyWindow <= 0 || time.Duration(c.KeyWindow) > longest) {
		p.add(at, "window: %v is not above 0 and up to %v", c.KeyWindow, longest)
	}
	if c.Timeout <= 0 || time.Duration(c.Timeout) > longest {
		p.add(at, "give_up: %v is not above 0 and up to %v", c.Timeout, longest)
	}
	if c.LatencyObjective < 0 || c.LatencyObjective > c.Timeout {
		p.add(at, "aim: %v is not from 0 to give_up, %v", c.LatencyObjective, c.Timeout)
	}
	if !(c.ObjectiveStretch >= 0 && c.ObjectiveStretch <= 1000) {
		p.add(at, "aim_stretch: %v is not from 0 to 1000", c.ObjectiveStretch)
	}
	if !(c.PriorityWeight >= 0 && c.PriorityWeight <= 1e9) {
		p.add(at, "worth: %v is not from 0 to 1e9", c.PriorityWeight)
	}
	if !(c.LateShare >= 0 && c.LateShare <= 1) {
		p.add(at, "late_share: %v is not from 0 to 1", c.LateShare)
	}
	if c.MaxAttempts < 0 || c.MaxAttempts > 100 {
		p.add(at, "attempts: %d is not from 0 to 100", c.MaxAttempts)
	}
}

func (p *problems) sections(r Rules, d *Document) {
	sections := d.Sections
	if len(sections) > maxSections {
		p.add("section", "there are %d, %d are allowed", len(sections), maxSections)
	}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		at := fmt.Sprintf("section %q", name)
		if why := badName(name); why != "" {
			p.add(at, "%s", why)
		}
		values := sections[name]
		if len(values) > maxKeys {
			p.add(at, "there are %d keys, %d are allowed", len(values), maxKeys)
		}
		for _, key := range slices.Sorted(maps.Keys(values)) {
			if why := badName(key); why != "" {
				p.add(at, "key %q: %s", key, why)
			}
		}
		if x := r.subject(name); x != nil {
			for _, why := range x.Validate(r.termsOf(d, name)) {
				p.add(at, "%s", why)
			}
		}
		if rule := r.Sections[name]; rule != nil {
			for _, why := range rule(d, values) {
				p.add(at, "%s", why)
			}
		}
	}
}

func badName(s string) string {
	switch {
	case s == "":
		return "it is empty"
	case len(s) > maxName:
		return fmt.Sprintf("it has %d bytes, %d are allowed", len(s), maxName)
	case strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '"' || r >= 0x7f }):
		return "it is not plain text without blanks"
	}
	return ""
}

// Diff says, a line each, what is different in b.
func Diff(a, b *Document) []string {
	var p problems
	classes := map[string]Class{}
	for _, c := range a.Classes {
		classes[c.Name] = c
	}
	for _, c := range b.Classes {
		at := fmt.Sprintf("class %q", c.Name)
		o, ok := classes[c.Name]
		if delete(classes, c.Name); !ok {
			p.add(at, "added")
			continue
		}
		p.differ(at, "effect", o.Idempotency, c.Idempotency)
		p.differ(at, "key_scope", o.KeyScope, c.KeyScope)
		p.differ(at, "window", o.KeyWindow, c.KeyWindow)
		p.differ(at, "give_up", o.Timeout, c.Timeout)
		p.differ(at, "aim", o.LatencyObjective, c.LatencyObjective)
		p.differ(at, "aim_stretch", o.ObjectiveStretch, c.ObjectiveStretch)
		p.differ(at, "worth", o.PriorityWeight, c.PriorityWeight)
		p.differ(at, "late_share", o.LateShare, c.LateShare)
		p.differ(at, "attempts", o.MaxAttempts, c.MaxAttempts)
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		p.add(fmt.Sprintf("class %q", name), "removed")
	}
	tenants := map[string]Tenant{}
	for _, t := range a.Tenants {
		tenants[t.Name] = t
	}
	for _, t := range b.Tenants {
		at := fmt.Sprintf("tenant %q", t.Name)
		o, ok := tenants[t.Name]
		if delete(tenants, t.Name); !ok {
			p.add(at, "added")
			continue
		}
		p.differ(at, "share", o.CapacityShare, t.CapacityShare)
		p.differ(at, "allowance_per_s", o.QuotaPerSecond, t.QuotaPerSecond)
	}
	for _, name := range slices.Sorted(maps.Keys(tenants)) {
		p.add(fmt.Sprintf("tenant %q", name), "removed")
	}
	names := map[string]bool{}
	for name := range a.Sections {
		names[name] = true
	}
	for name := range b.Sections {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		p.section(name, a.Sections[name], b.Sections[name])
	}
	if len(p) == 0 && !slices.Equal(a.Encode(), b.Encode()) {
		p.add("document", "the order of its entries")
	}
	return p
}

func (p *problems) section(name string, a, b map[string]string) {
	keys := map[string]bool{}
	for key := range a {
		keys[key] = true
	}
	for key := range b {
		keys[key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		at := fmt.Sprintf("section %q", name)
		before, had := a[key]
		after, has := b[key]
		switch {
		case !had:
			p.add(at, "%s added: %s", key, brief(after))
		case !has:
			p.add(at, "%s removed", key)
		case before != after:
			p.add(at, "%s %s -> %s", key, brief(before), brief(after))
		}
	}
}

func (p *problems) differ(at, what string, a, b any) {
	if a != b {
		p.add(at, "%s %s -> %s", what, brief(fmt.Sprint(a)), brief(fmt.Sprint(b)))
	}
}

// brief keeps a line of a diff readable.
func brief(s string) string {
	if s == "" {
		return `""`
	}
	if len(s) > 60 {
		return fmt.Sprintf("%.57q...", s)
	}
	if strings.ContainsAny(s, "\n\t ") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// finite guards Encode: JSON has no word for the other numbers.
func (d *Document) finite() bool {
	for _, c := range d.Classes {
		if bad(c.ObjectiveStretch) || bad(c.PriorityWeight) || bad(c.LateShare) {
			return false
		}
	}
	return !slices.ContainsFunc(d.Tenants, func(t Tenant) bool { return bad(t.CapacityShare) || bad(t.QuotaPerSecond) })
}

func bad(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) }
