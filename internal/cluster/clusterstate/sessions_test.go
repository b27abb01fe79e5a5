package clusterstate

import (
	"fmt"
	"testing"

	"moorstack/internal/cluster/rollout"
)

// A session is guaranteed to have ended if its lease has expired or its process has been replaced. The
// instance of a session that is set aside may still act.
func TestOnlyCertainlyEndedSessionsExpire(t *testing.T) {
	s := newState(t, Rules{}, sampleDocument(5))
	open := func(incarnation uint64) rollout.Command {
		return rollout.Command{Kind: rollout.OpenSession, Member: 1, Name: "n1", Incarnation: incarnation}
	}
	for n, step := range []struct {
		command rollout.Command
		expired string
	}{
		{open(7), "[]"},
		{open(8), "[{1 1}]"},
		{rollout.Command{Kind: rollout.SetAside, Member: 1}, "[]"},
		{open(8), "[]"},
		{rollout.Command{Kind: rollout.ExpireSessions,
			Sessions: []rollout.SessionID{{Member: 1, Epoch: 3}}}, "[{1 3}]"},
	} {
		s.ApplyRollout(step.command)
		if got := fmt.Sprint(s.PopExpiredSessions()); got != step.expired {
			t.Errorf("after step %d, %v: %s have expired, want %s", n, step.command.Kind, got, step.expired)
		}
	}
}
