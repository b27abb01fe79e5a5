// Package experiment runs series of emulated worlds according to a plan (a scenario, factors with levels, and
// seeds), stores the measurements as tables, and determines which differences are statistically significant.
package experiment
