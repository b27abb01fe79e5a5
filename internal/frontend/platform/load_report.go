package platform

import (
	"encoding/json"
	"strconv"
	"strings"

	"moorstack/balancer"
	"moorstack/internal/netio/http1"
)

// loadReportOf returns the load report in the header of a worker's response.
func (f *Front) loadReportOf(m *http1.Message) balancer.LoadReport {
	if m == nil {
		return balancer.NoLoadReport
	}
	return f.parseLoadReport(m.Get("X-Server-Load"))
}

// parseLoadReport parses a load report: a JSON object, or "TEXT name=value, name=value".
func (f *Front) parseLoadReport(s string) balancer.LoadReport {
	r := balancer.NoLoadReport
	s = strings.TrimSpace(s)
	if strings.HasPrefix(s, "{") {
		var values map[string]float64
		if json.Unmarshal([]byte(s), &values) == nil {
			for name, v := range values {
				f.names.report.Set(&r, name, v)
			}
		}
		return r
	}
	for item := range strings.SplitSeq(strings.TrimPrefix(s, "TEXT"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			f.names.report.Set(&r, name, v)
		}
	}
	return r
}
