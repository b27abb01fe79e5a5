package main

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"moorstack/internal/schema"
	"moorstack/internal/verify/faultinjection"
)

// memberSeenBy is the state of a member as an instance sees it.
func (g *group) memberSeenBy(at, of string) (m *schema.MemberStatus) {
	out, _ := g.run("cluster", "status", "--output", "json", "--config", at+".toml")
	var s schema.StatusReply
	if json.Unmarshal([]byte(out), &s) == nil {
		for _, m := range s.Members {
			if m.Name == of {
				return m
			}
		}
	}
	return &schema.MemberStatus{}
}

// Instances that probe each other know who is there: one that is killed, one that is stalled and comes
// back, and that a cut between two of them is no death.
func TestMembership(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.links = faultinjection.NewLinks()
	t.Cleanup(g.links.Close)
	all := []string{"n1", "n2", "n3", "n4"}
	g.form(all...)
	bad := g.documentOf("n1") + "[section.membership]\nprobe = \"often\"\n"
	g.expectProposal(exitInvalid, `probe: "often" is not a time from 50ms to 1m`, bad)
	g.sections("n1", "[section.rollout]\nlease = \"2s\"\n[section.membership]\nprobe = \"200ms\"\n")
	everybody := func(state string, of string, at ...string) {
		t.Helper()
		for _, n := range at {
			within(t, 3*waitLimit, n+" takes "+of+" for "+state, func() bool {
				return g.memberSeenBy(n, of).Seems == state
			})
		}
	}
	for _, n := range all {
		everybody("alive", n, without(all, n)...)
	}
	// Two that can't reach each other, while the others reach both.
	g.links.Cut("n2", "n3")
	within(t, 3*waitLimit, "n2 does not reach n3", func() bool {
		m := g.memberSeenBy("n2", "n3")
		if m.Seems != "alive" {
			t.Fatalf("others reach it, and n2 takes it for %s", m.Seems)
		}
		return m.UnreachedS > 0
	})
	g.eventuallySays("NOT REACHED FROM HERE", "cluster", "status", "--config", "n2.toml")
	g.links.Heal()
	within(t, 3*waitLimit, "n2 reaches n3 again",
		func() bool { return g.memberSeenBy("n2", "n3").UnreachedS == 0 })
	// A death, and the return of a process that knows nothing of it.
	g.kill("n4", syscall.SIGKILL)
	everybody("failed", "n4", "n1", "n2", "n3")
	g.eventuallySays("failed for", "cluster", "status", "--config", "n1.toml")
	g.start("n4")
	everybody("alive", "n4", "n1", "n2", "n3")
	// One that is stalled for long counts as failed, and refutes that when it goes on.
	wake := g.stall("n3")
	everybody("failed", "n3", "n1", "n2", "n4")
	wake()
	for _, n := range all {
		everybody("alive", n, without(all, n)...)
	}
}

func (g *group) expectProposal(code int, say, text string) {
	g.t.Helper()
	g.write("change.toml", text)
	out, got := g.runOnceLed("config", "propose", "change.toml", "--config", "n1.toml")
	if got != code || !strings.Contains(out, say) {
		g.t.Errorf("exit %d, want %d and %q: %s", got, code, say, out)
	}
}
