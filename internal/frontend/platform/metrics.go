package platform

import "moorstack/internal/proxy/metrics"

// ForwardedCount is how many attempts have been sent to next hops since the start.
func (f *Front) ForwardedCount() uint64 { return f.counters.Forwards }

// classCounters is where the jobs of a class are counted. A rule may give a job a class that came
// with a reload; where it gave none, the job was refused before it had one.
func (f *Front) classCounters(class int) *metrics.ClassCounters {
	for class >= len(f.counters.Classes) {
		f.counters.Classes = append(f.counters.Classes, metrics.ClassCounters{})
	}
	return &f.counters.Classes[max(class, 0)]
}

// AppendMetrics appends the figures of this moment, between two events, to dst.
func (f *Front) AppendMetrics(dst []byte) []byte {
	names := make([]string, len(f.cfg.Settings.Classes))
	for i := range names {
		names[i] = f.cfg.Settings.Classes[i].Name
	}
	return f.counters.AppendJSON(
		dst,
		names,
		metrics.Gauges{InFlight: f.broker.PendingCount() + len(f.adopted),
			Endpoints: f.broker.DiscoveredCount(), Ejected: f.broker.EjectedCount()},
	)
}
