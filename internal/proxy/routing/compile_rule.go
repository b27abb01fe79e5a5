package routing

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits of a rule.
const (
	maxHeaderText  = 200 // bytes of a text that is sent in a response header
	maxMaxAttempts = 100
	maxRetryAfter  = time.Hour
	maxSplitWeight = 1_000_000
)

func (c *compiler) compileRule(n int) {
	spec, elem := &c.file.Rules[n], c.ruleElement(n)
	r := &Rule{Number: n + 1, Name: spec.Name, Position: c.file.position(ruleArray, n, ""), spec: spec,
		class: noClass, minWork: time.Duration(spec.Match.MinWork),
		workBelow: time.Duration(spec.Match.WorkBelow)}
	c.table.rules = append(c.table.rules, r)
	c.checkHeaderText(elem, "name", spec.Name)
	c.checkHeaderText(elem, "refuse", spec.RejectReason)
	if spec.Name == "" {
		c.addProblem(elem, "", "it has no name")
	}
	c.compileMatch(elem, &spec.Match, r)
	if spec.Class != "" {
		if i := slices.Index(c.names.Classes, spec.Class); i >= 0 {
			r.class = i
		} else if c.names.Classes != nil {
			c.addProblem(elem, "class", "there is no class %q", spec.Class)
		}
	}
	if spec.MaxAttempts < 0 || spec.MaxAttempts > maxMaxAttempts {
		c.addProblem(elem, "attempts", "%d is not from 1 to 100", spec.MaxAttempts)
	}
	if spec.RejectReason != "" {
		c.checkRejection(elem, spec)
	} else {
		c.compileDestination(elem, spec, r)
	}
}

// checkHeaderText checks a text that is sent in a response header.
func (c *compiler) checkHeaderText(elem element, key, text string) {
	if len(text) > maxHeaderText ||
		strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) {
		c.addProblem(elem, key, "%.40q is not plain text of up to 200 bytes", text)
	}
}

func (c *compiler) compileMatch(elem element, m *MatchSpec, r *Rule) {
	const key = "match"
	c.checkNames(elem, "class", m.Classes, c.names.Classes, true)
	c.checkNames(elem, "tenant", m.Tenants, c.names.Tenants, true)
	c.checkNames(elem, "front", m.Fronts, []string{FrontHTTP, FrontFaktory}, false)
	for _, h := range m.Hosts {
		if h == "" || strings.Contains(strings.TrimPrefix(h, "*."), "*") || strings.HasPrefix(h, ".") {
			c.addProblem(elem, key, "host: %q is neither a host nor \"*.\" before a domain", h)
		}
	}
	for _, p := range m.PathPrefixes {
		if !strings.HasPrefix(p, "/") {
			c.addProblem(elem, key, "path_prefix: %q does not begin with /", p)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.Headers)) {
		if name == "" || m.Headers[name] == "" {
			c.addProblem(elem, key, "header: %q wants no value; \"*\" is any", name)
		}
		r.headers = append(r.headers, headerMatch{name, m.Headers[name]})
	}
	if r.workBelow > 0 && r.workBelow <= r.minWork {
		c.addProblem(elem, key, "no cost is from %v and below %v", r.minWork, r.workBelow)
	}
}

// checkNames checks a list of names in a rule's match. If allowEmpty is set, the empty name is allowed and
// matches a job that does not name a value.
func (c *compiler) checkNames(elem element, what string, names, known []string, allowEmpty bool) {
	_, unknown := resolveNames(names, known)
	for _, name := range unknown {
		if name != "" || !allowEmpty {
			c.addProblem(elem, "match", "there is no %s %q", what, name)
		}
	}
}

// checkRejection checks that a rule that rejects jobs has no settings for jobs that it accepts.
func (c *compiler) checkRejection(elem element, spec *RuleSpec) {
	if len(spec.PreferredPools)+len(spec.Split) > 0 || spec.MaxAttempts > 0 || spec.AttemptTimeout > 0 {
		c.addProblem(elem, "refuse", "a rule that refuses sends nowhere, and has no attempts or time-out")
	}
	if time.Duration(spec.RetryAfter) > maxRetryAfter {
		c.addProblem(elem, "retry_after", "%v is over an hour", time.Duration(spec.RetryAfter))
	}
}

// compileDestination compiles the pools to which a rule sends jobs.
func (c *compiler) compileDestination(elem element, spec *RuleSpec, r *Rule) {
	if spec.RetryAfter > 0 {
		c.addProblem(elem, "retry_after", "it goes with refuse")
	}
	switch spec.Spillover {
	case "":
		spec.Spillover = SpillIfEmpty
	case SpillNever, SpillIfEmpty, SpillIfBusy:
	default:
		c.addProblem(elem, "spill", "%q is not never, empty or busy", spec.Spillover)
	}
	if len(spec.PreferredPools) > 0 {
		r.preferred = c.compileRoute(elem, spec.PreferredPools, spec.Spillover)
	}
	switch spec.SplitBy {
	case "", SplitByRouteKey, SplitByTenant, SplitByID:
	default:
		c.addProblem(elem, "split_by", "%q is not key, tenant or id", spec.SplitBy)
	}
	for _, part := range spec.Split {
		if part.Weight < 0 || part.Weight > maxSplitWeight {
			c.addProblem(elem, "split", "the weight %d of %s is not from 0 to 1000000", part.Weight,
				part.Pool)
			continue
		}
		r.totalWeight += part.Weight
		pools := append([]string{part.Pool}, spec.PreferredPools...)
		r.split = append(r.split, c.compileRoute(elem, pools, spec.Spillover))
	}
	if len(spec.Split) > 0 && r.totalWeight == 0 {
		c.addProblem(elem, "split", "the weights add up to zero, so no part gets anything")
	}
}
