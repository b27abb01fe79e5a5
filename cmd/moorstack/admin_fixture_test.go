package main

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// adminFixture is a node with an admin address, its discovery and its workers.
type adminFixture struct {
	*nodeFixture
	admin string
}

func startNodeWithAdmin(t *testing.T, workers int, handle jobHandler) *adminFixture {
	admin := freeAddress(t)
	t.Setenv("BALANCER_ADMIN_ADDR", admin)
	o := &adminFixture{startNode(t, workers, handle), admin}
	eventually(t, "the admin address, which is opened last, accepts connections", func() bool {
		c, err := net.Dial("tcp", admin)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return o
}

// adminCall sends a call to the admin address in the given pieces and returns the whole reply, which must
// arrive within one second.
func adminCall(t *testing.T, admin string, pieces ...string) string {
	t.Helper()
	c, err := net.Dial("tcp", admin)
	check(t, err)
	defer c.Close()
	check(t, c.SetDeadline(time.Now().Add(time.Second)))
	for i, p := range pieces {
		if i > 0 {
			time.Sleep(2 * time.Millisecond)
		}
		_, err = io.WriteString(c, p)
		check(t, err)
	}
	answer, err := io.ReadAll(c)
	check(t, err)
	return string(answer)
}

func (o *adminFixture) expectReply(answer string, pieces ...string) {
	o.t.Helper()
	if got := adminCall(o.t, o.admin, pieces...); !strings.HasPrefix(got, answer) {
		o.t.Fatalf("call %q: reply %q, want prefix %q", pieces, got, answer)
	}
}

// nodeMetrics holds the reply to "stats" at the admin address.
type nodeMetrics struct {
	Results map[string]struct{ Succeeded, Declined, Aborted int }

	Outstanding, Discovered, Ejected, Forwards, Left int
}

func (o *adminFixture) metrics() (s nodeMetrics) {
	o.t.Helper()
	text, ok := strings.CutSuffix(adminCall(o.t, o.admin, "stats\n"), "\n--\n")
	if err := json.Unmarshal([]byte(text), &s); err != nil || !ok {
		o.t.Fatalf("invalid metrics %q: %v", text, err)
	}
	return s
}
