package platform

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"moorstack/internal/netio/http1"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

const (
	maxRequestIDBytes = 200
	maxCostMicros     = 1e12 // upper bound of a request's expected work, exclusive
	maxTimeout        = 24 * time.Hour
)

// Errors of a request's header fields. Their texts are sent to the client.
var (
	errRequestID   = errors.New("X-Request-ID is missing, too long or no plain text")
	errClass       = errors.New("X-Priority-Class names no class")
	errNoClass     = errors.New("X-Priority-Class is missing, and no rule gives the job a class")
	errTenant      = errors.New("X-Tenant-Id names no tenant")
	errTimeout     = errors.New("X-Timeout is not a time")
	errCost        = errors.New("X-Cost is not a time in microseconds")
	errIdempotency = errors.New("Idempotency-Key is missing or no plain text")
)

// payload holds the parts of a client's request that are sent on to a worker.
type payload struct {
	target, idempotencyKey string
	body                   []byte
}

// parseRequest reads the request from the message's header fields and routes it.
func (f *Front) parseRequest(m *http1.Message, body []byte) (broker.Request, routing.Decision, error) {
	p := &payload{target: m.Target, idempotencyKey: m.Get("Idempotency-Key"), body: body}
	r := broker.Request{ID: m.Get("X-Request-ID"), Payload: p}
	var d routing.Decision
	// A worker closes the connection on input that it can't parse. That would count as a reset, against the
	// worker, and an idempotent request would then be retried with the same outcome at the next one.
	if !http1.IsVisibleASCII(r.ID) || len(r.ID) > maxRequestIDBytes {
		return r, d, errRequestID
	}
	class := m.Get("X-Priority-Class")
	if r.Class = indexOrNone(f.names.classes, class); r.Class < 0 && (class != "" || f.routes == nil) {
		return r, d, errClass
	}
	if tenant := m.Get("X-Tenant-Id"); tenant != "" {
		if r.Tenant = indexOrNone(f.names.tenants, tenant); r.Tenant < 0 {
			return r, d, errTenant
		}
	}
	var err error
	if r.Timeout, err = parseTimeout(m.Get("X-Timeout")); err != nil {
		return r, d, err
	}
	if cost := m.Get("X-Cost"); cost != "" {
		micros, err := strconv.ParseFloat(cost, 64)
		if err != nil || !(micros >= 0 && micros < maxCostMicros) {
			return r, d, errCost
		}
		r.ExpectedWork = time.Duration(micros * float64(time.Microsecond))
	}
	r.IsRetry = m.Get("X-Retried") == "1"
	if f.accountHeader != "" {
		r.Account = m.Get(f.accountHeader)
	}
	parseAttributes(&r, m.Get("X-Attrs"))
	d, err = f.route(m, &r, p)
	return r, d, err
}

// parseAttributes reads "name=value, name=value": the resources that the request is expected to need. These
// are hints; unknown names and invalid numbers are ignored.
func parseAttributes(r *broker.Request, attributes string) {
	for attribute := range strings.SplitSeq(attributes, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(attribute), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		switch name {
		case "slots", "cores_needed":
			r.Slots = v
		case "memory", "ram_units":
			r.Memory = v
		}
	}
}

// route applies the routing rules, which select the request's workers and class, and then checks what the
// class requires.
func (f *Front) route(m *http1.Message, r *broker.Request, p *payload) (d routing.Decision, err error) {
	if f.routes != nil {
		path, _, _ := strings.Cut(m.Target, "?")
		job := routing.Job{
			Front:        "http",
			Class:        r.Class,
			Tenant:       r.Tenant,
			Host:         m.Get("Host"),
			Path:         path,
			Header:       m.Get,
			RouteKey:     m.Get("X-Route-Key"),
			ExpectedWork: r.ExpectedWork,
			ID:           r.ID,
		}
		if m.Get("X-Tenant-Id") == "" {
			job.Tenant = -1
		}
		d = f.routes.Decide(&job)
		r.Class, r.Route, r.MaxAttempts, r.AttemptTimeout = d.Class, d.Route, d.MaxAttempts, d.AttemptTimeout
		if r.Class < 0 && d.RejectReason == "" {
			return d, errNoClass
		}
	}
	// Workers recognise a retry by its idempotency key; without the key the work would run again.
	if d.RejectReason == "" && f.cfg.Settings.Classes[r.Class].Effect == "dedup" &&
		!http1.IsVisibleASCII(p.idempotencyKey) {
		return d, errIdempotency
	}
	return d, nil
}

// parseTimeout parses a number followed by its unit: m for milliseconds, u for microseconds.
func parseTimeout(s string) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(s, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(s, "u"):
		unit = time.Microsecond
	}
	if unit > 0 {
		n, err := strconv.ParseFloat(s[:len(s)-1], 64)
		if d := n * float64(unit); err == nil && d >= 1 && d <= float64(maxTimeout) {
			return time.Duration(d), nil
		}
	}
	return 0, errTimeout
}
