package controlapi

import (
	"fmt"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/schema"
)

// describeSchedule says how the triggers stand, where there are any.
func describeSchedule(out *schema.StatusReply, st consensus.Status) {
	x, ok := st.Participants[schedule.Section].(*schedule.Status)
	if !ok {
		return
	}
	s := &schema.ScheduleStatus{Triggers: uint32(x.Triggers), Owned: uint32(x.Owned), Open: uint32(x.Open),
		Zones: x.ZoneRulesVersion, FleetMs: x.ClusterTime / int64(time.Millisecond), Counts: x.ResultTotals,
		Off: map[string]string{}}
	for _, m := range out.Members {
		if why := x.ExcludedMembers[m.Id]; why != "" {
			s.Off[m.Name] = why
		}
	}
	for n := len(x.Failures) - 1; n >= 0 && len(s.Troubles) < 10; n-- {
		t := x.Failures[n]
		s.Troubles = append(s.Troubles, fmt.Sprintf("%s %v (%s)", t.Key, t.Result,
			time.Unix(t.At, 0).UTC().Format(time.RFC3339)))
	}
	out.Schedule = s
}
