package main

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"moorstack/internal/schema"
	"moorstack/internal/verify/faultinjection"
)

// memberSeenBy returns the state of a member as an instance sees it.
func (g *group) memberSeenBy(observer, member string) (m *schema.MemberStatus) {
	out, _ := g.run("cluster", "status", "--output", "json", "--config", observer+".toml")
	var s schema.StatusReply
	if json.Unmarshal([]byte(out), &s) == nil {
		for _, m := range s.Members {
			if m.Name == member {
				return m
			}
		}
	}
	return &schema.MemberStatus{}
}

// Instances that probe each other detect a member that is killed, and one that is stalled and resumes. A cut
// link between two of them does not make either count as failed.
func TestMembership(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.links = faultinjection.NewLinks()
	t.Cleanup(g.links.Close)
	all := []string{"n1", "n2", "n3", "n4"}
	g.form(all...)
	bad := g.configWithoutSections("n1") + "[section.membership]\nprobe = \"often\"\n"
	g.expectProposal(exitInvalid, `probe: "often" is not a time from 50ms to 1m`, bad)
	g.setSections("n1", "[section.rollout]\nlease = \"2s\"\n[section.membership]\nprobe = \"200ms\"\n")
	waitState := func(state string, member string, observers ...string) {
		t.Helper()
		for _, n := range observers {
			within(t, 3*waitLimit, n+" sees "+member+" as "+state, func() bool {
				return g.memberSeenBy(n, member).Seems == state
			})
		}
	}
	for _, n := range all {
		waitState("alive", n, without(all, n)...)
	}
	// n2 and n3 can't reach each other, but the others reach both.
	g.links.Cut("n2", "n3")
	within(t, 3*waitLimit, "n2 does not reach n3", func() bool {
		m := g.memberSeenBy("n2", "n3")
		if m.Seems != "alive" {
			t.Fatalf("the others reach n3, but n2 sees it as %s", m.Seems)
		}
		return m.UnreachedS > 0
	})
	g.eventuallyPrints("NOT REACHED FROM HERE", "cluster", "status", "--config", "n2.toml")
	g.links.Heal()
	within(t, 3*waitLimit, "n2 reaches n3 again",
		func() bool { return g.memberSeenBy("n2", "n3").UnreachedS == 0 })
	// n4 is killed and restarted; the new process does not know that it counted as failed.
	g.kill("n4", syscall.SIGKILL)
	waitState("failed", "n4", "n1", "n2", "n3")
	g.eventuallyPrints("failed for", "cluster", "status", "--config", "n1.toml")
	g.start("n4")
	waitState("alive", "n4", "n1", "n2", "n3")
	// A member that is stalled for long counts as failed, and refutes that once it resumes.
	resume := g.stall("n3")
	waitState("failed", "n3", "n1", "n2", "n4")
	resume()
	for _, n := range all {
		waitState("alive", n, without(all, n)...)
	}
}

func (g *group) expectProposal(code int, want, text string) {
	g.t.Helper()
	g.write("change.toml", text)
	out, got := g.runWithLeader("config", "propose", "change.toml", "--config", "n1.toml")
	if got != code || !strings.Contains(out, want) {
		g.t.Errorf("exit %d, want %d and %q: %s", got, code, want, out)
	}
}
