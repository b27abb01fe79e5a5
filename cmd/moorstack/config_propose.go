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
		StringVar(&f.id, "id", "", "the change's id; the same again, say after exit code 6, has the same one")
	cmd.Flags().StringVar(&f.note, "note", "", "why, for the history")
	cmd.Flags().StringSliceVar(&f.expect, "expect", nil,
		"refuse the change if an expectation in these `files` fails under it")
	cmd.Flags().BoolVar(&f.noWait, "no-wait", false, "return as soon as the change begins to take hold")
	cmd.Flags().DurationVar(&f.wait, "wait", time.Minute,
		"how long to wait until it is in force or withdrawn")
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "say what would come of it, and change nothing")
}

// timeout is how long the call may take.
func (f *proposeFlags) timeout() time.Duration { return max(f.wait, time.Second) }

func newConfigPropose(g *globalFlags, r *controlFlags) *cobra.Command {
	var f proposeFlags
	cmd := &cobra.Command{
		Use:   "propose FILE",
		Short: "Put a changed configuration in force at all instances, or at none",
		Long: `propose asks for a change: FILE holds the whole configuration, and "revision" in it names
the one that it was made from, as get printed it. It is checked whole, made ready at every
instance, and then takes hold at all of them. When the command returns with 0, no instance
admits jobs under the old one any more.

What is refused changes nothing: with 3 if another change came first (the message says
what it changed), with 4 if the document is not valid (file and line are named), or if an
instance refuses it or can't be asked in time (the message names it).`,
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
					"it must name the revision that the file was made from, as get prints it")
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
		Uint64Var(&f.base, "base", 0, "the revision that the file was made from, in place of the file's word")
	return cmd
}

// proposal is a change that is asked for.
type proposal struct {
	base     uint64 // the revision that it was made from
	document *clusterstate.Document
	locate   func(problem string) string // puts the place in a file before a problem; nil: there is no file
}

// propose asks for the change that prepare gives, and prints its outcome.
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

// send sends a proposal, and gives the change's id and the reply.
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
			fmt.Errorf("not decided within %v; \"config pending\" tells how it stands, "+
				"and the same again is safe: --id %s", f.timeout(), id)}
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

// loadExpectations reads a file of expectations and applies a document to them, its routes too if it has
// any.
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
