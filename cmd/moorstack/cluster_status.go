package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

// addSessionRows adds rows for the instance's session and for a pending change.
func addSessionRows(t *table, s *schema.StatusReply) {
	if s.Format < 2 {
		if s.Format == 1 {
			t.add("changes", "an instance runs an older program: no change is accepted until it is upgraded")
		}
		return
	}
	lease := fmt.Sprintf("its lease lasts %.2f s", s.LeaseS)
	if s.CutOffRule == "serve" {
		lease = "it keeps serving when it is cut off"
	}
	if s.Admits {
		t.add("admits", fmt.Sprintf("jobs, under revision %d; session %d, %s", s.Running, s.Epoch, lease))
	} else {
		t.add("ADMITS", "no jobs: "+s.AdmitsNot)
	}
	if s.Staged != "" {
		t.add("staged", "change "+s.Staged)
	}
	if s.Pending.GetId() != "" {
		addPendingRows(t, s.Pending)
	}
}

func newClusterStatus(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of an instance and its group",
		Long: `status shows the state of the called instance: the agreed configuration and the one that its
fronts run, whether and for how long it has been cut off, the members of the group, and the share
of the accounts' rates and of the triggers that each member owns. Only the leader knows which
members can be reached and how far each has caught up. status works also while there is no leader;
it then exits with 5, and so it does if consensus has stopped.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			noLeader := false
			err := g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					s, err := c.Status(ctx, &schema.StatusRequest{})
					if err != nil {
						return nil, table{}, err
					}
					noLeader = s.CutOff || s.Role == "stopped"
					return s, statusTable(s), nil
				})
			if err == nil && noLeader {
				return exitError{code: exitNoLeader}
			}
			return err
		},
	}
	addOutput(cmd, g)
	return cmd
}

func statusTable(s *schema.StatusReply) table {
	t := table{}
	t.add("instance", fmt.Sprintf("%s (%x)", s.Name, s.Id))
	t.add("group", orDash(s.Cluster))
	t.add("role", s.Role)
	if s.Cluster == "" {
		t.add("", `it belongs to no group yet: "cluster init" here, or "cluster add" at a member`)
		return t
	}
	t.add("leader", fmt.Sprintf("%s, term %d", orDash(s.Leader), s.Term))
	t.add("agreed", fmt.Sprintf("revision %d (entry %d of %d)", s.Revision, s.Applied, s.Commit))
	t.add("running", fmt.Sprintf("revision %d", s.Running))
	if s.RunningProblem != "" {
		t.add("PROBLEM", s.RunningProblem)
	}
	if s.CutOff {
		t.add("CUT OFF", fmt.Sprintf("no leader for %.1f s", s.ContactS))
	}
	addSessionRows(&t, s)
	addScheduleRows(&t, s.Schedule)
	if s.Joint {
		t.add("members", "a membership change is in progress; the group completes it by itself")
	}
	for i, m := range s.Members {
		head := ""
		if i == 0 {
			head = "members"
		}
		t.add(head, memberText(m))
	}
	return t
}

// addScheduleRows adds rows for the state of the triggers.
func addScheduleRows(t *table, s *schema.ScheduleStatus) {
	if s == nil {
		return
	}
	t.add("triggers", fmt.Sprintf("%d, %d of them fired here; %d occurrences are open", s.Triggers,
		s.Owned, s.Open))
	at := "not known here"
	if s.FleetMs > 0 {
		at = time.UnixMilli(s.FleetMs).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	t.add("fleet's time", fmt.Sprintf("%s, zone rules %016x", at, s.Zones))
	for _, name := range slices.Sorted(maps.Keys(s.Off)) {
		t.add("FIRES NOTHING", name+": "+s.Off[name])
	}
	for _, what := range slices.Sorted(maps.Keys(s.Counts)) {
		t.add("occurrences", fmt.Sprintf("%d %s", s.Counts[what], what))
	}
	for _, line := range s.Troubles {
		t.add("look at", line)
	}
}

// durationText formats a duration in seconds, rounded to a tenth of a second below a minute and to a second
// from there on.
func durationText(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d < time.Minute {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// memberText describes a member, in the text of its row in a status.
func memberText(m *schema.MemberStatus) string {
	text := fmt.Sprintf("%s (%x) at %s, voter", m.Name, m.Id, m.Address)
	if !m.Voter {
		text = fmt.Sprintf("%s (%x) at %s, no vote", m.Name, m.Id, m.Address)
	}
	if m.Known {
		text += fmt.Sprintf(", has entry %d", m.Match)
		if !m.Active {
			text += ", NOT HEARD OF"
		}
		if m.Running > 0 {
			text += fmt.Sprintf(", runs revision %d", m.Running)
		}
	}
	if m.Seems != "" {
		text += fmt.Sprintf(", %s for %s", m.Seems, durationText(m.SeemsS))
		if len(m.SeemsBy) > 0 {
			text += " by " + strings.Join(m.SeemsBy, " and ")
		}
	}
	if m.UnreachedS > 0 {
		text += fmt.Sprintf(", NOT REACHED FROM HERE for %s", durationText(m.UnreachedS))
	}
	if m.Session != "" {
		text += ", session " + m.Session
	}
	if m.Owns > 0 {
		text += fmt.Sprintf(", owns %.0f%%", 100*m.Owns)
	}
	return text
}
