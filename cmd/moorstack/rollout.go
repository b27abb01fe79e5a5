package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newConfigPending(g *global, r *remote) *cobra.Command {
	return &cobra.Command{
		Use:   "pending",
		Short: "Say which change takes hold now, and whom it waits for",
		Long: `pending says how far a change has come. It is staged at every instance, then all cease to
admit jobs for a moment, then it is in force. Only the leader knows whom it waits for; an
instance that does not answer is waited for until its lease has surely run out.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				p, err := c.Pending(ctx, &schema.PendingRequest{})
				if err != nil {
					return err
				}
				t := table{}
				if p.Id == "" {
					t.add("no change is pending")
				} else {
					pendingRows(&t, p)
				}
				return g.print(cmd.OutOrStdout(), p, t)
			})
		},
	}
}

func pendingRows(t *table, p *schema.PendingReply) {
	t.add("pending", fmt.Sprintf("change %s by %s as revision %d: %s, attempt %d", p.Id, dash(p.Author),
		p.Revision, p.Phase, p.Attempt))
	var names []string
	for _, a := range p.Awaited {
		names = append(names, fmt.Sprintf("%s (its lease may last %.2f s)", a.Name, a.LeaseS))
	}
	switch {
	case len(names) > 0:
		t.add("waits for", strings.Join(names, ", "))
	case !p.Known:
		t.add("waits for", "the leader knows")
	}
}

func newConfigWithdraw(g *global, r *remote) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   "withdraw [CHANGE]",
		Short: "Have the pending change be in force nowhere",
		Long: `withdraw ends the change that takes hold now, or the one named if it is that. Who proposed
it is told. A change that is in force can't be withdrawn: see rollback.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in := &schema.WithdrawRequest{Reason: reason}
			if len(args) > 0 {
				in.Change = args[0]
			}
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				done, err := c.Withdraw(ctx, in)
				return g.done(cmd, done, err)
			})
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "why, for who proposed it")
	return cmd
}

// done prints what an operation did.
func (g *global) done(cmd *cobra.Command, done *schema.Operated, err error) error {
	if err != nil {
		return err
	}
	return g.print(cmd.OutOrStdout(), map[string]string{"done": done.Text},
		table{rows: [][]string{{done.Text}}})
}

func newClusterSetAside(g *global, r *remote) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "set-aside NAME",
		Short: "Give your word that an instance does not serve, so that changes don't wait for it",
		Long: `set-aside tells the group that the instance NAME admits no jobs: that its process has ended,
or that no client reaches it. Changes no longer wait for it, and it must hear from the group
before it admits a job again, which it does by itself when it is back.

Where the group goes by "cut_off = lease" this only saves the wait for its lease. Where it goes
by "serve" it is the only way on without the instance. Hazard: an instance that is cut off, and
serves on all the same, serves under the old policy.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				done, err := c.SetAside(ctx, &schema.SetAsideRequest{Name: args[0]})
				return g.done(cmd, done, err)
			})
		},
	}
	addOutput(cmd, g)
	return cmd
}

// sessionRows is what a status says of sessions.
func sessionRows(t *table, s *schema.StatusReply) {
	if s.Format < 2 {
		if s.Format == 1 {
			t.add("changes", "an instance runs an older program: none is taken until it is renewed")
		}
		return
	}
	lease := fmt.Sprintf("its lease lasts %.2f s", s.LeaseS)
	if s.CutOffRule == "serve" {
		lease = "it serves on when it is cut off"
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
		pendingRows(t, s.Pending)
	}
}

// took says how long a change took from its proposal until it was in force, by the clocks of
// the instances that noted the two.
func took(rev *schema.Revision) string {
	if rev.ForceMs == 0 || rev.AtMs <= 0 {
		return "-"
	}
	return (time.Duration(rev.ForceMs-rev.AtMs) * time.Millisecond).String()
}
