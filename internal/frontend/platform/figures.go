package platform

import "moorstack/internal/proxy/metrics"

// Forwards is how many attempts have been sent to next hops since the start.
func (f *Front) Forwards() uint64 { return f.counts.Forwards }

// count is where the jobs of a class are counted. A rule may give a job a class that came
// with a reload; where it gave none, the job was refused before it had one.
func (f *Front) count(class int) *metrics.Class {
	for class >= len(f.counts.Classes) {
		f.counts.Classes = append(f.counts.Classes, metrics.Class{})
	}
	return &f.counts.Classes[max(class, 0)]
}

// Figures appends the figures of this moment, between two events, to dst.
func (f *Front) Figures(dst []byte) []byte {
	names := make([]string, len(f.cfg.Settings.Classes))
	for i := range names {
		names[i] = f.cfg.Settings.Classes[i].Name
	}
	return f.counts.Append(dst, names, metrics.Now{Outstanding: f.core.Waiting() + len(f.fosters),
		Discovered: f.core.Discovered(), Ejected: f.core.Ejected()})
}
