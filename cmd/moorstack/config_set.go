package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newConfigSet(g *globalFlags, r *controlFlags) *cobra.Command {
	var f proposeFlags
	cmd := &cobra.Command{
		Use:   "set SECTION KEY FILE",
		Short: "Set a key of a section to a file's text, at all instances or at none",
		Long: `set changes one key of the newest configuration. The routing rules are the key toml of the
section routes; they take precedence over the rule files of individual instances.`,
		Example: "  moorstack config set routes toml routes.toml --expect sunday.toml --config n1.toml",
		Args:    cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			section, key := args[0], args[1]
			text, err := os.ReadFile(args[2])
			if err != nil {
				return err
			}
			return g.propose(cmd, r, &f, func(ctx context.Context, c schema.ControlClient) (proposal, error) {
				doc, err := fetchConfig(ctx, c, newestRevision)
				if err != nil {
					return proposal{}, err
				}
				if doc.Sections == nil {
					doc.Sections = map[string]map[string]string{}
				}
				if doc.Sections[section] == nil {
					doc.Sections[section] = map[string]string{}
				}
				doc.Sections[section][key] = string(text)
				return proposal{base: doc.Revision, document: &doc.Document}, nil
			})
		},
	}
	f.add(cmd)
	return cmd
}
