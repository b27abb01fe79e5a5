package main

import (
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"moorstack/balancer"
	"moorstack/internal/proxy/settings"
)

// dispatcher is the host of one balancer: it writes the balancer's actions as lines.
type dispatcher struct {
	name         string
	out          *jx.Writer
	reportFields settings.LoadReportFields
	balancer     *balancer.Balancer
}

var _ balancer.Actions = (*dispatcher)(nil)

// begin opens an action's line, up to and with the dispatcher's name.
func (d *dispatcher) begin(action string) {
	d.out.RawStr(`{"`)
	d.out.RawStr(action)
	d.out.RawStr(`":{"who":`)
	d.out.StrEscape(d.name)
}

func (d *dispatcher) end() { d.out.RawStr("}}\n") }

func (d *dispatcher) request(id balancer.RequestID) {
	d.out.RawStr(`,"handle":`)
	d.out.StrEscape(string(id))
}

// number writes a field. Its name comes with the punctuation before and after it.
func (d *dispatcher) number(name string, n int64) {
	d.out.RawStr(name)
	d.out.Int64(n)
}

// Send implements balancer.Actions.
func (d *dispatcher) Send(id balancer.RequestID, w balancer.WorkerID) {
	d.begin("route")
	d.request(id)
	d.number(`,"worker":`, int64(w))
	d.end()
}

// Reject implements balancer.Actions.
func (d *dispatcher) Reject(id balancer.RequestID, retryAfter time.Duration) {
	d.begin("overload_reply")
	d.request(id)
	if retryAfter > 0 {
		d.number(`,"backoff":`, int64(retryAfter))
	}
	d.end()
}

// Fail implements balancer.Actions.
func (d *dispatcher) Fail(id balancer.RequestID) {
	d.begin("drop_request")
	d.request(id)
	d.end()
}

// Cancel implements balancer.Actions.
func (d *dispatcher) Cancel(id balancer.RequestID, attempt int) {
	d.begin("withdraw")
	d.request(id)
	d.number(`,"go":`, int64(attempt))
	d.end()
}

// CheckHealth implements balancer.Actions.
func (d *dispatcher) CheckHealth(w balancer.WorkerID) {
	d.begin("sample")
	d.number(`,"worker":`, int64(w))
	d.end()
}

// WatchList implements balancer.Actions.
func (d *dispatcher) WatchList(on bool) {
	d.begin("watch")
	d.out.RawStr(`,"enable":`)
	d.out.Bool(on)
	d.end()
}

// SetTimer implements balancer.Actions. The token is decimal text.
func (d *dispatcher) SetTimer(after time.Duration, token uint64) {
	d.begin("after")
	d.number(`,"delay":`, int64(after))
	d.out.RawStr(`,"mark":"`)
	d.out.UInt64(token)
	d.out.RawStr(`"`)
	d.end()
}

// parseToken reads a token that SetTimer has written.
func parseToken(text []byte) (uint64, error) { return strconv.ParseUint(string(text), 10, 64) }

// SendPeer implements balancer.Actions.
func (d *dispatcher) SendPeer(peer int, data []byte) {
	d.begin("signal")
	d.number(`,"dest":`, int64(peer))
	d.out.RawStr(`,"raw":`)
	d.out.Base64(data)
	d.end()
}

// Log implements balancer.Actions.
func (d *dispatcher) Log(text string) {
	d.begin("trace")
	d.out.RawStr(`,"message":`)
	d.out.StrEscape(text)
	d.end()
}

// bailOut says that the decision code has failed.
func (d *dispatcher) bailOut(text string) {
	d.begin("bail_out")
	d.out.RawStr(`,"message":`)
	d.out.StrEscape(text)
	d.end()
}
