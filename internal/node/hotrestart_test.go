package node

import (
	"reflect"
	"testing"
	"time"

	"moorstack/internal/proxy/broker"
)

func TestBrokerStateSurvivesHotRestart(t *testing.T) {
	in := broker.ProcessState{UnderMaintenance: map[string]time.Duration{"out": 1},
		ReturnedFromMaintenance: map[string]broker.MaintenancePeriod{"back": {Since: 2, Ended: 3}}}
	got := decodeBrokerState(encodeBrokerState(in))
	if !reflect.DeepEqual(got.UnderMaintenance, in.UnderMaintenance) ||
		!reflect.DeepEqual(got.ReturnedFromMaintenance, in.ReturnedFromMaintenance) {
		t.Errorf("%+v became %+v", in, got)
	}
}
