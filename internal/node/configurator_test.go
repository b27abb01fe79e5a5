package node

import (
	"testing"

	"moorstack/internal/cluster/clusterstate"
)

func TestNewestRevisionReplacesOlder(t *testing.T) {
	ch := make(chan clusterstate.Revision, 1)
	for n := range uint64(3) {
		sendNewest(ch, clusterstate.Revision{Number: n})
	}
	if got := <-ch; got.Number != 2 || len(ch) != 0 {
		t.Errorf("got revision %d and %d more, want 2 and no more", got.Number, len(ch))
	}
}

func TestStagedChangeIsUsedOnce(t *testing.T) {
	c := &configurator{staged: stagedChange{id: "x"}}
	if _, ok := c.popStaged("x"); !ok {
		t.Error("the staged change was not returned")
	}
	if _, ok := c.popStaged("x"); ok {
		t.Error("the staged change was returned twice")
	}
	c.staged = stagedChange{id: "x"}
	if _, ok := c.popStaged("y"); ok || c.staged.id != "" {
		t.Error("the staged change was returned for another change, or not discarded")
	}
	if _, ok := c.popStaged(""); ok {
		t.Error("a revision without a change got a staged configuration")
	}
}
