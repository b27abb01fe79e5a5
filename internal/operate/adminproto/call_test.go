package adminproto

import (
	"errors"
	"strings"
	"testing"
)

// recorder is a node that notes what it is asked.
type recorder struct {
	asked []string
	err   error
}

func (r *recorder) note(what string) error { r.asked = append(r.asked, what); return r.err }

func (r *recorder) Ready() error                     { return r.note("ready") }
func (r *recorder) StartMaintenance(id string) error { return r.note("ban " + id) }
func (r *recorder) EndMaintenance(id string) error   { return r.note("unban " + id) }
func (r *recorder) Standby() error                   { return r.note("standby") }
func (r *recorder) EndStandby() error                { return r.note("active") }
func (r *recorder) AppendMetrics(d []byte) []byte    { _ = r.note("figures"); return append(d, "{}"...) }

func TestAnswer(t *testing.T) {
	for _, c := range []struct{ line, asked, answer string }{
		{"status", "ready", "ACK status\n"},
		{" status\t ", "ready", "ACK status\n"},
		{"stats", "figures", "{}\n--\n"},
		{"maint-on s-1", "ban s-1", "ACK maint-on s-1\n"},
		{"maint-off  s-1", "unban s-1", "ACK maint-off s-1\n"},
		{"standby", "standby", "ACK standby\n"},
		{"active", "active", "ACK active\n"},
		{"", "", "NAK the call is empty\n"},
		{"maint-on", "", "NAK maint-on wants the id"},
		{"maint-on a b", "", "NAK maint-on takes nothing after"},
		{"standby now", "", "NAK standby takes nothing after"},
		{"STATUS", "", `NAK "STATUS" is no call; there are status, stats, maint-on ID`},
		{"stat\x00us", "", "NAK the call is no plain text\n"},
		{"maint-on \xff", "", "NAK the call is no plain text\n"},
	} {
		n := &recorder{}
		got := string(HandleLine(nil, []byte(c.line), n))
		if !strings.HasPrefix(got, c.answer) || strings.Join(n.asked, ",") != c.asked {
			t.Errorf("%q: asked %q and answered %q", c.line, n.asked, got)
		}
		if !strings.HasSuffix(got, "\n") {
			t.Errorf("%q: the answer %q has no end", c.line, got)
		}
	}
	n := &recorder{err: errors.New("two\nlines")}
	if got := string(HandleLine(nil, []byte("status"), n)); got != "NAK two lines\n" {
		t.Errorf("a no reads %q", got)
	}
}
