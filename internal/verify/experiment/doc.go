// Package experiment runs a plan of emulated worlds (a scenario, factors with levels, seeds), keeps what was
// measured as tables, and says which differences are significant.
package experiment
