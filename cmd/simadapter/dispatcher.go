package main

import (
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"moorstack/balancer"
	"moorstack/internal/proxy/settings"
)

// dispatcher hosts one balancer and writes its actions as lines of output.
type dispatcher struct {
	name         string
	out          *jx.Writer
	reportFields settings.LoadReportFields
	balancer     *balancer.Balancer
}

var _ balancer.Actions = (*dispatcher)(nil)

// beginAction writes the start of an action's line, up to and including the dispatcher's name.
func (d *dispatcher) beginAction(action string) {
	d.out.RawStr(`{"`)
	d.out.RawStr(action)
	d.out.RawStr(`":{"who":`)
	d.out.StrEscape(d.name)
}

func (d *dispatcher) endAction() { d.out.RawStr("}}\n") }

func (d *dispatcher) requestField(id balancer.RequestID) {
	d.out.RawStr(`,"handle":`)
	d.out.StrEscape(string(id))
}

// intField writes a numeric field. The name includes the punctuation before and after it.
func (d *dispatcher) intField(name string, n int64) {
	d.out.RawStr(name)
	d.out.Int64(n)
}

// Send implements balancer.Actions.
func (d *dispatcher) Send(id balancer.RequestID, w balancer.WorkerID) {
	d.beginAction("route")
	d.requestField(id)
	d.intField(`,"worker":`, int64(w))
	d.endAction()
}

// Reject implements balancer.Actions.
func (d *dispatcher) Reject(id balancer.RequestID, retryAfter time.Duration) {
	d.beginAction("overload_reply")
	d.requestField(id)
	if retryAfter > 0 {
		d.intField(`,"backoff":`, int64(retryAfter))
	}
	d.endAction()
}

// Fail implements balancer.Actions.
func (d *dispatcher) Fail(id balancer.RequestID) {
	d.beginAction("drop_request")
	d.requestField(id)
	d.endAction()
}

// Cancel implements balancer.Actions.
func (d *dispatcher) Cancel(id balancer.RequestID, attempt int) {
	d.beginAction("withdraw")
	d.requestField(id)
	d.intField(`,"go":`, int64(attempt))
	d.endAction()
}

// CheckHealth implements balancer.Actions.
func (d *dispatcher) CheckHealth(w balancer.WorkerID) {
	d.beginAction("sample")
	d.intField(`,"worker":`, int64(w))
	d.endAction()
}

// WatchList implements balancer.Actions.
func (d *dispatcher) WatchList(on bool) {
	d.beginAction("watch")
	d.out.RawStr(`,"enable":`)
	d.out.Bool(on)
	d.endAction()
}

// SetTimer implements balancer.Actions. The token is written as decimal text.
func (d *dispatcher) SetTimer(after time.Duration, token uint64) {
	d.beginAction("after")
	d.intField(`,"delay":`, int64(after))
	d.out.RawStr(`,"mark":"`)
	d.out.UInt64(token)
	d.out.RawStr(`"`)
	d.endAction()
}

// parseToken parses a token written by SetTimer.
func parseToken(text []byte) (uint64, error) { return strconv.ParseUint(string(text), 10, 64) }

// SendPeer implements balancer.Actions.
func (d *dispatcher) SendPeer(peer int, data []byte) {
	d.beginAction("signal")
	d.intField(`,"dest":`, int64(peer))
	d.out.RawStr(`,"raw":`)
	d.out.Base64(data)
	d.endAction()
}

// Log implements balancer.Actions.
func (d *dispatcher) Log(text string) {
	d.beginAction("trace")
	d.out.RawStr(`,"message":`)
	d.out.StrEscape(text)
	d.endAction()
}

// bailOut reports that the balancer has failed.
func (d *dispatcher) bailOut(text string) {
	d.beginAction("bail_out")
	d.out.RawStr(`,"message":`)
	d.out.StrEscape(text)
	d.endAction()
}
