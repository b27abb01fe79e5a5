package settings

import "moorstack/balancer"

// LoadReportFields is the meaning of the custom values x0 and x1 of load reports.
type LoadReportFields struct{ x0, x1 string }

// LoadReportFields returns the configured meaning of the custom values.
func (p *Params) LoadReportFields() LoadReportFields {
	return LoadReportFields{p.Extra.ReportX0, p.Extra.ReportX1}
}

// Set sets the field of a load report that belongs to a name on the wire. Values that the balancer does not
// use are ignored. The simulator and the workers use the same names. A worker's report looks like
// "TEXT pending=0, served_ps=0, svc_ms=0, x0=7.255".
func (f LoadReportFields) Set(r *balancer.LoadReport, name string, v float64) {
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
}

// setCustomValue sets the field that a custom value is configured to hold.
func setCustomValue(r *balancer.LoadReport, holds string, v float64) {
	switch holds {
	case "free slots":
		r.FreeSlots = v
	case "free memory":
		r.FreeMemory = v
	}
}
