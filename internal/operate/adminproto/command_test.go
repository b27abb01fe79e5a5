package adminproto

import (
	"errors"
	"strings"
	"testing"
)

// recorder is a Handler that records its calls and returns err from them.
type recorder struct {
	calls []string
	err   error
}

func (r *recorder) record(call string) error { r.calls = append(r.calls, call); return r.err }

func (r *recorder) Ready() error                     { return r.record("ready") }
func (r *recorder) StartMaintenance(id string) error { return r.record("start maintenance " + id) }
func (r *recorder) EndMaintenance(id string) error   { return r.record("end maintenance " + id) }
func (r *recorder) Standby() error                   { return r.record("standby") }
func (r *recorder) EndStandby() error                { return r.record("end standby") }

func (r *recorder) AppendMetrics(dst []byte) []byte {
	_ = r.record("metrics")
	return append(dst, "{}"...)
}

func TestHandleLine(t *testing.T) {
	for _, c := range []struct{ line, calls, reply string }{
		{"status", "ready", "ACK status\n"},
		{" status\t ", "ready", "ACK status\n"},
		{"stats", "metrics", "{}\n--\n"},
		{"maint-on s-1", "start maintenance s-1", "ACK maint-on s-1\n"},
		{"maint-off  s-1", "end maintenance s-1", "ACK maint-off s-1\n"},
		{"standby", "standby", "ACK standby\n"},
		{"active", "end standby", "ACK active\n"},
		{"", "", "NAK the call is empty\n"},
		{"maint-on", "", "NAK maint-on wants the id"},
		{"maint-on a b", "", "NAK maint-on takes nothing after"},
		{"standby now", "", "NAK standby takes nothing after"},
		{"STATUS", "", `NAK "STATUS" is no call; there are status, stats, maint-on ID`},
		{"stat\x00us", "", "NAK the call is no plain text\n"},
		{"maint-on \xff", "", "NAK the call is no plain text\n"},
	} {
		h := &recorder{}
		got := string(HandleLine(nil, []byte(c.line), h))
		if !strings.HasPrefix(got, c.reply) || strings.Join(h.calls, ",") != c.calls {
			t.Errorf("%q: got calls %q and reply %q", c.line, h.calls, got)
		}
		if !strings.HasSuffix(got, "\n") {
			t.Errorf("%q: the reply %q has no end", c.line, got)
		}
	}
}

func TestErrorWithLineBreakStaysOneLine(t *testing.T) {
	h := &recorder{err: errors.New("two\nlines")}
	if got := string(HandleLine(nil, []byte("status"), h)); got != "NAK two lines\n" {
		t.Errorf("got reply %q, want the error on one line", got)
	}
}
