package clusterstate

import (
	"fmt"
	"testing"

	"moorstack/internal/cluster/rollout"
)

// Whose lease has run out, or whose process is no more, has surely ended; who is set aside may act yet.
func TestWhoHasSurelyEnded(t *testing.T) {
	s := state(t)
	for n, c := range []struct {
		c    rollout.Command
		want string
	}{
		{rollout.Command{Kind: rollout.OpenSession, Member: 1, Name: "n1", Incarnation: 7}, "[]"},
		{rollout.Command{Kind: rollout.OpenSession, Member: 1, Name: "n1", Incarnation: 8}, "[{1 1}]"},
		{rollout.Command{Kind: rollout.SetAside, Member: 1}, "[]"},
		{rollout.Command{Kind: rollout.OpenSession, Member: 1, Name: "n1", Incarnation: 8}, "[]"},
		{rollout.Command{Kind: rollout.ExpireSessions, Sessions: []rollout.SessionID{{Member: 1,
			Epoch: 3}}}, "[{1 3}]"},
	} {
		s.ApplyRollout(c.c)
		if got := fmt.Sprint(s.TakeExpiredSessions()); got != c.want {
			t.Errorf("after %d, %v: %s have ended, wanted %s", n, c.c.Kind, got, c.want)
		}
	}
}
