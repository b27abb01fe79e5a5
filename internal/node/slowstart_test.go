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
		t.Errorf("with a partition: got %d of %d and factor %v, want 1 of 3 and 2",
			held.DispatcherIndex, held.DispatcherCount, held.Rules.OverloadFactor)
	}
	if none := (partition{state: partitionNone}).apply(base); none.Rules.OverloadFactor != noBudgetFactor {
		t.Errorf("without a partition: got factor %v, want noBudgetFactor", none.Rules.OverloadFactor)
	}
}
