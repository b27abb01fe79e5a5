package node

import (
	"testing"

	"moorstack/balancer"
)

func TestPartitionBoundsSlowStartBudget(t *testing.T) {
	var base balancer.Settings
	base.Rules.OverloadFactor = 2
	held := partition{partitionHeld, 1, 3}.apply(base)
	if held.DispatcherIndex != 1 || held.DispatcherCount != 3 || held.Rules.OverloadFactor != 2 {
		t.Errorf("held: %d of %d, factor %v", held.DispatcherIndex, held.DispatcherCount,
			held.Rules.OverloadFactor)
	}
	if none := (partition{state: partitionNone}).apply(base); none.Rules.OverloadFactor != noBudgetFactor {
		t.Errorf("none: factor %v", none.Rules.OverloadFactor)
	}
}
