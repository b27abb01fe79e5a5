package platform

import "moorstack/internal/proxy/metrics"

// ForwardedCount returns how many attempts have been sent to workers since the start.
func (f *Front) ForwardedCount() uint64 { return f.counters.Forwards }

// classCounters returns the counters of a class. A routing rule may give a request a class that came with a
// reload; a request that was rejected before it had a class, -1, is counted under the first.
func (f *Front) classCounters(class int) *metrics.ClassCounters {
	for class >= len(f.counters.Classes) {
		f.counters.Classes = append(f.counters.Classes, metrics.ClassCounters{})
	}
	return &f.counters.Classes[max(class, 0)]
}

// AppendMetrics appends the metrics as one line of JSON to dst. They are one snapshot between two events.
func (f *Front) AppendMetrics(dst []byte) []byte {
	names := make([]string, len(f.cfg.Settings.Classes))
	for i := range names {
		names[i] = f.cfg.Settings.Classes[i].Name
	}
	return f.counters.AppendJSON(dst, names, metrics.Gauges{
		InFlight:  f.broker.PendingCount() + len(f.adopted),
		Endpoints: f.broker.DiscoveredCount(),
		Ejected:   f.broker.EjectedCount(),
	})
}
