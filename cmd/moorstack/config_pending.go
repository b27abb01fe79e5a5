package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newConfigPending(g *globalFlags, r *controlFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "pending",
		Short: "Show the pending change, and the instances that it waits for",
		Long: `pending shows the progress of the pending change. A change is staged at every instance, then
all instances briefly stop admitting jobs, then it is in force. Only the leader knows which
instances it waits for. An instance that does not answer is waited for until its lease must
have expired.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					p, err := c.Pending(ctx, &schema.PendingRequest{})
					if err != nil {
						return nil, table{}, err
					}
					t := table{}
					if p.Id == "" {
						t.add("no change is pending")
					} else {
						addPendingRows(&t, p)
					}
					return p, t, nil
				})
		},
	}
}

// addPendingRows adds rows for the pending change and the instances that it waits for.
func addPendingRows(t *table, p *schema.PendingReply) {
	t.add("pending", fmt.Sprintf("change %s by %s as revision %d: %s, attempt %d", p.Id, orDash(p.Author),
		p.Revision, p.Phase, p.Attempt))
	var names []string
	for _, a := range p.Awaited {
		names = append(names, fmt.Sprintf("%s (its lease may last %.2f s)", a.Name, a.LeaseS))
	}
	switch {
	case len(names) > 0:
		t.add("waits for", strings.Join(names, ", "))
	case !p.Known:
		t.add("waits for", "only the leader knows")
	}
}
