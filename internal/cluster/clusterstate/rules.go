package clusterstate

import (
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/membership"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/cluster/weights"
	"moorstack/internal/schema"
)

// LatestFormat is the latest format of the state and its log that this program supports. An instance that
// reads an entry of a later format stops applying entries, because it would interpret them incompletely.
//
// In a group of format 1, a change is in force as soon as it is agreed on. Since format 2, changes go through
// package rollout. Format 3 added leased tasks, format 4 rate limits over all fronts, format 5 triggers,
// format 6 the instances' weights, and format 7 rolling restarts and membership probes. A group switches to a
// later format once all its instances support it.
const LatestFormat = 7

// The first formats that support features without a state machine of their own.
const (
	formatRollout    = 2 // sessions, and changes that go through package rollout
	formatRates      = 4
	formatPlacement  = 5
	formatMembership = 7

	// formatKnownSections is the first format whose sections are rejected until the group's format supports
	// them, that is, while an instance does not support them.
	formatKnownSections = formatRates
)

// StateMachineTypes returns the types of the replicated state machines and of the validated sections, in the
// order of their fields in a snapshot. To add a type, implement it in a package and add a line here.
func StateMachineTypes() []replicated.StateMachineType {
	return []replicated.StateMachineType{
		replicated.SectionOnly{SectionName: rollout.Section, FirstFormat: formatRollout,
			Validator: validateRollout},
		leasedtask.Type{},
		schedule.Type{},
		weights.Type{},
		replicated.SectionOnly{SectionName: ratelimit.Section, FirstFormat: formatRates,
			Validator: ratelimit.Validate},
		replicated.SectionOnly{SectionName: placement.Section, FirstFormat: formatPlacement,
			Validator: validatePlacement},
		replicated.SectionOnly{SectionName: membership.Section, FirstFormat: formatMembership,
			Validator: membership.Validate},
	}
}

func validateRollout(c replicated.Config) []string {
	_, problems := rollout.ParsePolicy(c.Values)
	return problems
}

func validatePlacement(c replicated.Config) []string {
	_, problems := placement.ParsePolicy(c.Values)
	return problems
}

// SectionValidator returns the problems of a section with the given values. It must be a pure function, so
// that every instance gets the same result.
type SectionValidator func(d *Document, values map[string]string) []string

// Rules are the rules by which documents are validated. All instances of a group must use the same rules.
type Rules struct {
	// Sections has additional validators by section. A section without a validator and without a state
	// machine type is not validated.
	Sections map[string]SectionValidator
	// Types are the types of the state machines and validated sections; nil: StateMachineTypes().
	Types  []replicated.StateMachineType
	format int // of the group; 0: LatestFormat
}

// StateMachineTypes returns the rules' types, in the order of the fields in a snapshot.
func (r Rules) StateMachineTypes() []replicated.StateMachineType {
	if r.Types != nil {
		return r.Types
	}
	return StateMachineTypes()
}

// typeOf returns the type that a section configures; nil if there is none.
func (r Rules) typeOf(section string) replicated.StateMachineType {
	for _, t := range r.StateMachineTypes() {
		if t.Section() == section {
			return t
		}
	}
	return nil
}

// requiredFormat returns the earliest format of a group in which a document may have the section; 0: any. An
// instance that does not support a section still applies the document, and ignores the section.
//
// Earlier versions of the program checked this only for sections of format 4 and later. Instances must not
// reject documents that those versions accept, because they would then agree on a different state.
func (r Rules) requiredFormat(section string) int {
	if t := r.typeOf(section); t != nil && t.SinceFormat() >= formatKnownSections {
		return t.SinceFormat()
	}
	return 0
}

// HasCommand reports whether an entry of the log is a command of a state machine.
func (r Rules) HasCommand(e *schema.Change) bool {
	for _, t := range r.StateMachineTypes() {
		if t.OwnsEntry(e) {
			return true
		}
	}
	return false
}

// config returns the part of a document that the state machine configured by the section may read.
func (r Rules) config(d *Document, section string) replicated.Config {
	c := replicated.Config{Values: d.Sections[section], Format: r.format}
	if c.Format == 0 {
		c.Format = LatestFormat
	}
	for i := range d.Classes {
		c.Classes = append(c.Classes, d.Classes[i].Replicated())
	}
	for _, tenant := range d.Tenants {
		c.Tenants = append(c.Tenants, tenant.Name)
	}
	return c
}
