package settings

import (
	"math"

	"moorstack/balancer"
)

// LoadReportFields is the meaning of the custom values x0 and x1 of load reports.
type LoadReportFields struct{ x0, x1 string }

// LoadReportFields returns the configured meaning of the custom values.
func (p *Params) LoadReportFields() LoadReportFields {
	return LoadReportFields{p.Extra.ReportX0, p.Extra.ReportX1}
}

// maxReportedCount is the largest number of slots or waiting requests that a load report can hold. A worker
// has at most some hundreds of either.
const maxReportedCount = 10_000

// Set sets the field of a load report that belongs to a name on the wire, and reports false if the value
// can't be right: it is no finite number, or beyond maxReportedCount for a number of slots or requests. The
// balancer keeps the most slots that any worker of a kind has reported, so that a single such value would
// make it reject all requests from then on. Values that the balancer does not use are ignored. The simulator
// and the workers use the same names. A worker's report looks like "TEXT pending=0, served_ps=0, svc_ms=0,
// x0=7.255".
func (f LoadReportFields) Set(r *balancer.LoadReport, name string, v float64) (valid bool) {
	if math.IsNaN(v) || math.IsInf(v, 0) || f.isCount(name) && math.Abs(v) > maxReportedCount {
		return false
	}
	switch name {
	case "x0":
		setCustomValue(r, f.x0, v)
	case "x1":
		setCustomValue(r, f.x1, v)
	case "busy_reqs":
		r.InFlight = v
	case "pending":
		r.QueueLength = v
	case "cpu_share":
		r.CPUShare = v
	case "served_ps":
		r.ServedPerSecond = v
	case "failed_ps":
		r.FailedPerSecond = v
	}
	r.Received = true
	return true
}

// isCount reports whether a value is a number of slots or of requests.
func (f LoadReportFields) isCount(name string) bool {
	switch name {
	case "x0":
		return f.x0 == freeSlots
	case "x1":
		return f.x1 == freeSlots
	}
	return name == "busy_reqs" || name == "pending"
}

// freeSlots is the meaning of a custom value that holds a worker's free slots.
const freeSlots = "free slots"

// setCustomValue sets the field that a custom value is configured to hold.
func setCustomValue(r *balancer.LoadReport, holds string, v float64) {
	switch holds {
	case freeSlots:
		r.FreeSlots = v
	case "free memory":
		r.FreeMemory = v
	}
}
