package platform

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

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
				f.setLoadValue(&r, name, v)
			}
		}
		return r
	}
	for item := range strings.SplitSeq(strings.TrimPrefix(s, "TEXT"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			f.setLoadValue(&r, name, v)
		}
	}
	return r
}

// setLoadValue sets a value of a load report. A value that can't be right is ignored, and the first one
// logged.
func (f *Front) setLoadValue(r *balancer.LoadReport, name string, v float64) {
	if f.names.report.Set(r, name, v) || f.invalidLoadLogged {
		return
	}
	f.invalidLoadLogged = true
	f.log.WithFields(logrus.Fields{"name": name, "value": v}).
		Warn("value of a load report ignored, further ones are not logged")
}
