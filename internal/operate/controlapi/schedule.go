package controlapi

import (
	"fmt"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/schema"
)

// maxFailures is the maximum number of trigger failures that a status lists.
const maxFailures = 10

// describeSchedule fills in the state of the triggers, if the consensus status has any.
func describeSchedule(out *schema.StatusReply, st consensus.Status) {
	triggers, ok := st.Participants[schedule.Section].(*schedule.Status)
	if !ok {
		return
	}
	s := &schema.ScheduleStatus{
		Triggers: uint32(triggers.Triggers),
		Owned:    uint32(triggers.Owned),
		Open:     uint32(triggers.Open),
		Zones:    triggers.ZoneRulesVersion,
		FleetMs:  triggers.ClusterTime / int64(time.Millisecond),
		Counts:   triggers.ResultTotals,
		Off:      map[string]string{},
	}
	for _, m := range out.Members {
		if reason := triggers.ExcludedMembers[m.Id]; reason != "" {
			s.Off[m.Name] = reason
		}
	}
	for n := len(triggers.Failures) - 1; n >= 0 && len(s.Troubles) < maxFailures; n-- {
		f := triggers.Failures[n]
		at := time.Unix(f.At, 0).UTC().Format(time.RFC3339)
		s.Troubles = append(s.Troubles, fmt.Sprintf("%s %v (%s)", f.Key, f.Result, at))
	}
	out.Schedule = s
}
