package node

import (
	"testing"

	"moorstack/internal/cluster/schedule"
)

func TestTriggersAreFoundByName(t *testing.T) {
	p := &schedule.Policy{Triggers: []schedule.Trigger{{Name: "a"}, {Name: "b"}}}
	if got := findTrigger(p, "b"); got != &p.Triggers[1] {
		t.Errorf("got %v, want trigger b", got)
	}
	if got := findTrigger(p, "c"); got != nil {
		t.Errorf("got %v for an unknown name, want nil", got)
	}
}
