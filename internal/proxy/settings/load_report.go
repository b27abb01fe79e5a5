package settings

import "moorstack/balancer"

// LoadReportFields is what the two free values of a load report, x0 and x1, hold.
type LoadReportFields struct{ x0, x1 string }

// LoadReportFields gives what the free values of load reports hold.
func (p *Params) LoadReportFields() LoadReportFields {
	return LoadReportFields{p.Extra.ReportX0, p.Extra.ReportX1}
}

// Set puts a value of a load report, by its name on the wire, in its place. Values that the balancer has no
// place for are ignored. The simulator and the workers use the same names: a real worker's report was
// observed to be "TEXT pending=0, served_ps=0, svc_ms=0, x0=7.255".
func (f LoadReportFields) Set(r *balancer.LoadReport, name string, v float64) {
	switch name {
	case "x0":
		setFree(r, f.x0, v)
	case "x1":
		setFree(r, f.x1, v)
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

// setFree puts a free value in the place of what it holds.
func setFree(r *balancer.LoadReport, holds string, v float64) {
	switch holds {
	case "free slots":
		r.FreeSlots = v
	case "free memory":
		r.FreeMemory = v
	}
}
