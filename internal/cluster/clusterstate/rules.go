package clusterstate

import (
	"time"

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

// LatestFormat is the newest format of the state and its log that this program reads. An instance
// that meets a newer one stops applying entries rather than reading them in part.
//
// In a group of format 1 a change is in force when it is agreed on. From format 2 on it goes through
// package rollout; format 3 adds leased tasks, format 4 rates over all fronts, format 5 triggers,
// format 6 the instances' weights, and format 7 rolling restarts and membership probes. A group goes
// to a newer format once all its instances can read it.
const LatestFormat = 7

// The formats from which on a group knows what has only a section, or is part of the state itself.
const (
	formatRollout    = 2 // sessions, and changes that go through package rollout
	formatRates      = 4
	formatPlacement  = 5
	formatMembership = 7

	// formatKnownSections is the first with sections that an instance rejects while another instance does
	// not know them.
	formatKnownSections = formatRates
)

// StateMachineTypes returns what a group agrees on in addition to the document's classes and tenants, in the
// order of the fields in a snapshot. A new one is a package and a line here.
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

// SectionValidator returns the problems of a section that the program knows. It must be a pure
// function.
type SectionValidator func(d *Document, values map[string]string) []string

// Rules are what documents are validated by. Every instance of a group must have the same.
type Rules struct {
	// Sections are the validators that no state machine type has. A section without any may hold
	// anything.
	Sections map[string]SectionValidator
	// Types are what is agreed on in addition to the document; nil: StateMachineTypes().
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

// typeOf returns the type that a section configures, or nil.
func (r Rules) typeOf(section string) replicated.StateMachineType {
	for _, t := range r.StateMachineTypes() {
		if t.Section() == section {
			return t
		}
	}
	return nil
}

// requiredFormat is the group's format below which a document with the section is rejected; 0: none. An
// instance that does not know a section runs the document all the same, and ignores the section.
//
// Hazard: earlier programs checked this from format 4 on. To reject what they accept would be to agree
// on something else than they do.
func (r Rules) requiredFormat(section string) int {
	if t := r.typeOf(section); t != nil && t.SinceFormat() >= formatKnownSections {
		return t.SinceFormat()
	}
	return 0
}

// HasCommand reports whether an entry of the log is a state machine's.
func (r Rules) HasCommand(e *schema.Change) bool {
	for _, t := range r.StateMachineTypes() {
		if t.OwnsEntry(e) {
			return true
		}
	}
	return false
}

// config returns what a state machine may read of a document.
func (r Rules) config(d *Document, section string) replicated.Config {
	c := replicated.Config{Values: d.Sections[section], Format: r.format}
	if c.Format == 0 {
		c.Format = LatestFormat
	}
	for _, class := range d.Classes {
		c.Classes = append(c.Classes, replicated.Class{Name: class.Name, Idempotency: class.Idempotency,
			KeyScope: class.KeyScope, Timeout: time.Duration(class.Timeout),
			KeyWindow: time.Duration(class.KeyWindow)})
	}
	for _, tenant := range d.Tenants {
		c.Tenants = append(c.Tenants, tenant.Name)
	}
	return c
}
