package routing

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits of a rule.
const (
	maxHeaderText  = 200 // bytes of a text that goes into a response's header
	maxMaxAttempts = 100
	maxRetryAfter  = time.Hour
	maxSplitWeight = 1_000_000
)

func (c *compiler) compileRule(n int) {
	spec, at := &c.file.Rules[n], c.ruleElement(n)
	r := &Rule{Number: n + 1, Name: spec.Name, Position: c.file.position(ruleArray, n, ""), spec: spec,
		class: noClass, minWork: time.Duration(spec.Match.MinWork),
		workBelow: time.Duration(spec.Match.WorkBelow)}
	c.table.rules = append(c.table.rules, r)
	c.checkHeaderText(at, "name", spec.Name)
	c.checkHeaderText(at, "refuse", spec.RejectReason)
	if spec.Name == "" {
		c.addProblem(at, "", "it has no name")
	}
	c.compileMatch(at, &spec.Match, r)
	if spec.Class != "" {
		if i := slices.Index(c.names.Classes, spec.Class); i >= 0 {
			r.class = i
		} else if c.names.Classes != nil {
			c.addProblem(at, "class", "there is no class %q", spec.Class)
		}
	}
	if spec.MaxAttempts < 0 || spec.MaxAttempts > maxMaxAttempts {
		c.addProblem(at, "attempts", "%d is not from 1 to 100", spec.MaxAttempts)
	}
	if spec.RejectReason != "" {
		c.checkRejection(at, spec)
	} else {
		c.compileDestination(at, spec, r)
	}
}

// checkHeaderText checks a text that goes into a response's header.
func (c *compiler) checkHeaderText(at element, key, text string) {
	if len(text) > maxHeaderText ||
		strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) {
		c.addProblem(at, key, "%.40q is not plain text of up to 200 bytes", text)
	}
}

func (c *compiler) compileMatch(at element, m *MatchSpec, r *Rule) {
	const key = "match"
	c.checkNames(at, "class", m.Classes, c.names.Classes, true)
	c.checkNames(at, "tenant", m.Tenants, c.names.Tenants, true)
	c.checkNames(at, "front", m.Fronts, []string{FrontHTTP, FrontFaktory}, false)
	for _, h := range m.Hosts {
		if h == "" || strings.Contains(strings.TrimPrefix(h, "*."), "*") || strings.HasPrefix(h, ".") {
			c.addProblem(at, key, "host: %q is neither a host nor \"*.\" before a domain", h)
		}
	}
	for _, p := range m.PathPrefixes {
		if !strings.HasPrefix(p, "/") {
			c.addProblem(at, key, "path_prefix: %q does not begin with /", p)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.Headers)) {
		if name == "" || m.Headers[name] == "" {
			c.addProblem(at, key, "header: %q wants no value; \"*\" is any", name)
		}
		r.headers = append(r.headers, headerMatch{name, m.Headers[name]})
	}
	if r.workBelow > 0 && r.workBelow <= r.minWork {
		c.addProblem(at, key, "no cost is from %v and below %v", r.minWork, r.workBelow)
	}
}

// checkNames checks a list of names in a rule's match. The empty name may stand for a job that names none.
func (c *compiler) checkNames(at element, what string, names, known []string, allowEmpty bool) {
	_, unknown := resolveNames(names, known)
	for _, name := range unknown {
		if name != "" || !allowEmpty {
			c.addProblem(at, "match", "there is no %s %q", what, name)
		}
	}
}

// checkRejection checks a rule that rejects jobs.
func (c *compiler) checkRejection(at element, spec *RuleSpec) {
	if len(spec.PreferredPools)+len(spec.Split) > 0 || spec.MaxAttempts > 0 || spec.AttemptTimeout > 0 {
		c.addProblem(at, "refuse", "a rule that refuses sends nowhere, and has no attempts or time-out")
	}
	if time.Duration(spec.RetryAfter) > maxRetryAfter {
		c.addProblem(at, "retry_after", "%v is over an hour", time.Duration(spec.RetryAfter))
	}
}

// compileDestination compiles where a rule sends jobs.
func (c *compiler) compileDestination(at element, spec *RuleSpec, r *Rule) {
	if spec.RetryAfter > 0 {
		c.addProblem(at, "retry_after", "it goes with refuse")
	}
	switch spec.Spillover {
	case "":
		spec.Spillover = SpillIfEmpty
	case SpillNever, SpillIfEmpty, SpillIfBusy:
	default:
		c.addProblem(at, "spill", "%q is not never, empty or busy", spec.Spillover)
	}
	if len(spec.PreferredPools) > 0 {
		r.preferred = c.compileRoute(at, spec.PreferredPools, spec.Spillover)
	}
	switch spec.SplitBy {
	case "", SplitByRouteKey, SplitByTenant, SplitByID:
	default:
		c.addProblem(at, "split_by", "%q is not key, tenant or id", spec.SplitBy)
	}
	for _, part := range spec.Split {
		if part.Weight < 0 || part.Weight > maxSplitWeight {
			c.addProblem(at, "split", "the weight %d of %s is not from 0 to 1000000", part.Weight, part.Pool)
			continue
		}
		r.totalWeight += part.Weight
		pools := append([]string{part.Pool}, spec.PreferredPools...)
		r.split = append(r.split, c.compileRoute(at, pools, spec.Spillover))
	}
	if len(spec.Split) > 0 && r.totalWeight == 0 {
		c.addProblem(at, "split", "the weights add up to zero, so no part gets anything")
	}
}
