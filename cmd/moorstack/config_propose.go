package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/node"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
	"moorstack/internal/tomlfile"
	"moorstack/internal/verify/expect"
)

type proposeFlags struct {
	id, note string
	base     uint64
	dryRun   bool
	noWait   bool
	wait     time.Duration
	expect   []string
}

func (f *proposeFlags) add(cmd *cobra.Command) {
	cmd.Flags().
		StringVar(&f.id, "id", "",
			"the change's ID; repeat a change with the same one, for example after exit code 6")
	cmd.Flags().StringVar(&f.note, "note", "", "why the change is made, for the history")
	cmd.Flags().StringSliceVar(&f.expect, "expect", nil,
		"reject the change if an expectation in these `files` fails under it")
	cmd.Flags().BoolVar(&f.noWait, "no-wait", false, "return as soon as the rollout of the change has begun")
	cmd.Flags().DurationVar(&f.wait, "wait", time.Minute,
		"how long to wait until it is in force or withdrawn")
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "show what the change would do, and change nothing")
}

// timeout is the time limit of the call.
func (f *proposeFlags) timeout() time.Duration { return max(f.wait, time.Second) }

func newConfigPropose(g *globalFlags, r *controlFlags) *cobra.Command {
	var f proposeFlags
	cmd := &cobra.Command{
		Use:   "propose FILE",
		Short: "Put a changed configuration in force at all instances, or at none",
		Long: `propose proposes a change. FILE holds the complete configuration, and its "revision" names
the revision that it is based on, as get printed it. The document is validated, staged at
every instance, and then put in force at all of them. When the command returns with 0, no
instance admits jobs under the old revision any more.

A rejected change changes nothing. The command exits with 3 if another change was made first
(the message lists what it changed), and with 4 if the document is not valid (the message
names file and line), or if an instance rejects it or can't be reached in time (the message
names the instance).`,
		Example: `  moorstack config propose config.toml --note "quotes are worth less"
  moorstack config propose config.toml --dry-run`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, raw, err := readConfigFile(args[0])
			if err != nil {
				return err
			}
			base := doc.Revision
			if f.base > 0 {
				base = f.base
			}
			if base == 0 {
				return tomlfile.ErrorAt(args[0], raw, "revision",
					"it must be the revision that the file is based on, as get prints it")
			}
			return g.propose(cmd, r, &f, func(context.Context, schema.ControlClient) (proposal, error) {
				return proposal{base: base, document: &doc.Document, locate: func(problem string) string {
					return locateProblem(args[0], raw, problem)
				}}, nil
			})
		},
	}
	f.add(cmd)
	cmd.Flags().
		Uint64Var(&f.base, "base", 0,
			"the revision that the change is based on, instead of the one in the file")
	return cmd
}

// proposal is a change to propose.
type proposal struct {
	base     uint64 // the revision that it is based on
	document *clusterstate.Document
	locate   func(problem string) string // prefixes a problem with its file and line; nil: no file
}

// propose proposes the change that prepare returns, and prints its outcome.
func (g *globalFlags) propose(cmd *cobra.Command, r *controlFlags, f *proposeFlags,
	prepare func(context.Context, schema.ControlClient) (proposal, error)) error {
	return r.callWithTimeout(cmd.Context(), f.timeout(), func(ctx context.Context,
		c schema.ControlClient) error {
		p, err := prepare(ctx, c)
		if err != nil {
			return err
		}
		if err := checkExpectations(cmd, f.expect, p.document); err != nil {
			return err
		}
		id, reply, err := f.send(ctx, c, p)
		if err != nil {
			return err
		}
		if reply.Code == schema.ProposeReply_INVALID && p.locate != nil {
			for i, problem := range reply.Problems {
				reply.Problems[i] = p.locate(problem)
			}
		}
		return g.printOutcome(cmd, proposeOutcome{id: id, base: p.base, dryRun: f.dryRun, reply: reply})
	})
}

// send sends a proposal. It returns the change's ID and the reply.
func (f *proposeFlags) send(ctx context.Context, c schema.ControlClient,
	p proposal) (id string, reply *schema.ProposeReply, err error) {
	if id = f.id; id == "" {
		if id, err = controlapi.NewChangeID(); err != nil {
			return "", nil, err
		}
	}
	b, err := json.Marshal(p.document)
	if err != nil {
		return "", nil, exitError{exitInvalid, err}
	}
	reply, err = c.Propose(ctx, &schema.ProposeRequest{Id: id, Base: p.base, Note: f.note, Document: b,
		DryRun: f.dryRun, NoWait: f.noWait})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "", nil, exitError{exitUnknown,
			fmt.Errorf("not decided within %v; \"config pending\" shows the change's progress, "+
				"and it is safe to repeat it with --id %s", f.timeout(), id)}
	}
	return id, reply, err
}

// checkExpectations checks expectations under a document that has not been proposed yet.
func checkExpectations(cmd *cobra.Command, files []string, doc *clusterstate.Document) error {
	failed := 0
	for _, path := range files {
		s, err := loadExpectations(path, doc)
		if err != nil {
			return err
		}
		for _, r := range s.Run(nil) {
			if !r.Passed() {
				failed++
				printFailure(cmd, r)
			}
		}
	}
	if failed > 0 {
		return exitError{exitInvalid,
			fmt.Errorf("%d expectations fail under this change; it was not proposed", failed)}
	}
	return nil
}

// loadExpectations reads a file of expectations and applies a document to them. If the document has routing
// rules, they replace those of the rules file that the expectations name.
func loadExpectations(path string, doc *clusterstate.Document) (*expect.Suite, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := expect.Load(path, raw, func(rules string) ([]byte, error) {
		if section, ok := doc.Sections[node.RoutesSection]; ok {
			return []byte(section["toml"]), nil
		}
		return os.ReadFile(rules)
	})
	if err == nil {
		err = s.ApplyDocument(doc)
	}
	if err != nil {
		return nil, exitError{exitInvalid, err}
	}
	return s, nil
}
