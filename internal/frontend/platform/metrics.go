package platform

import "moorstack/internal/proxy/metrics"

// ForwardedCount returns the number of attempts sent to workers since the start of the process.
func (f *Front) ForwardedCount() uint64 { return f.counters.Forwards }

// classCounters returns the counters of a class, and adds them if a routing rule has assigned a class that
// was added by a reload. A request rejected before it had a class (-1) is counted for the first class.
func (f *Front) classCounters(class int) *metrics.ClassCounters {
	for class >= len(f.counters.Classes) {
		f.counters.Classes = append(f.counters.Classes, metrics.ClassCounters{})
	}
	return &f.counters.Classes[max(class, 0)]
}

// AppendMetrics appends the metrics to dst as one line of JSON. It runs on the event loop, so that all
// values are from the same time.
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
