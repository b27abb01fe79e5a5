package main

import (
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"moorstack/balancer"
	"moorstack/internal/proxy/settings"
)

// instance hosts one balancer: it is the balancer's Actions, written as lines.
type instance struct {
	who   string
	out   *jx.Writer
	names settings.LoadReportFields
	bal   *balancer.Balancer
}

var _ balancer.Actions = (*instance)(nil)

// start opens an action's line up to and with the instance's name.
func (in *instance) start(action string) {
	in.out.RawStr(`{"`)
	in.out.RawStr(action)
	in.out.RawStr(`":{"who":`)
	in.out.StrEscape(in.who)
}

func (in *instance) end() { in.out.RawStr("}}\n") }

func (in *instance) handle(id balancer.RequestID) {
	in.out.RawStr(`,"handle":`)
	in.out.StrEscape(string(id))
}

func (in *instance) number(name string, n int64) {
	in.out.RawStr(name)
	in.out.Int64(n)
}

// Send writes route.
func (in *instance) Send(id balancer.RequestID, w balancer.WorkerID, until time.Duration) {
	in.start("route")
	in.handle(id)
	in.number(`,"worker":`, int64(w))
	if until > 0 {
		in.number(`,"expire_at":`, int64(until))
	}
	in.end()
}

// Reject writes overload_reply.
func (in *instance) Reject(id balancer.RequestID, retryAfter time.Duration) {
	in.start("overload_reply")
	in.handle(id)
	if retryAfter > 0 {
		in.number(`,"backoff":`, int64(retryAfter))
	}
	in.end()
}

// Fail writes drop_request.
func (in *instance) Fail(id balancer.RequestID) {
	in.start("drop_request")
	in.handle(id)
	in.end()
}

// Cancel writes withdraw.
func (in *instance) Cancel(id balancer.RequestID, attempt int) {
	in.start("withdraw")
	in.handle(id)
	in.number(`,"go":`, int64(attempt))
	in.end()
}

// CheckHealth writes sample.
func (in *instance) CheckHealth(w balancer.WorkerID) {
	in.start("sample")
	in.number(`,"worker":`, int64(w))
	in.end()
}

// WatchList writes watch.
func (in *instance) WatchList(on bool) {
	in.start("watch")
	in.out.RawStr(`,"enable":`)
	in.out.Bool(on)
	in.end()
}

// FetchList writes get_list.
func (in *instance) FetchList() {
	in.start("get_list")
	in.end()
}

// SetTimer writes after, with the token as decimal text.
func (in *instance) SetTimer(d time.Duration, token uint64) {
	in.start("after")
	in.number(`,"delay":`, int64(d))
	in.out.RawStr(`,"mark":"`)
	in.out.UInt64(token)
	in.out.RawStr(`"`)
	in.end()
}

// SendPeer writes signal.
func (in *instance) SendPeer(peer int, data []byte) {
	in.start("signal")
	in.number(`,"dest":`, int64(peer))
	in.out.RawStr(`,"raw":`)
	in.out.Base64(data)
	in.end()
}

// CloseIdle writes hang_up.
func (in *instance) CloseIdle(w balancer.WorkerID) {
	in.start("hang_up")
	in.number(`,"worker":`, int64(w))
	in.end()
}

// Log writes trace.
func (in *instance) Log(text string) {
	in.start("trace")
	in.out.RawStr(`,"message":`)
	in.out.StrEscape(text)
	in.end()
}

// bail writes bail_out: the decision code has failed.
func (in *instance) bail(text string) {
	in.start("bail_out")
	in.out.RawStr(`,"message":`)
	in.out.StrEscape(text)
	in.end()
}

func tokenOf(mark []byte) (uint64, error) { return strconv.ParseUint(string(mark), 10, 64) }
