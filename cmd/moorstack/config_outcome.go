package main

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

// proposeOutcome is the outcome of a proposal.
type proposeOutcome struct {
	id     string // the change's ID
	base   uint64 // the revision that the change is based on
	dryRun bool
	reply  *schema.ProposeReply
}

// proposeResult is the JSON form of an outcome.
type proposeResult struct {
	ID        string   `json:"id"`
	Outcome   string   `json:"outcome"`
	Revision  uint64   `json:"revision"`
	DryRun    bool     `json:"dry_run"`
	Problems  []string `json:"problems,omitempty"`
	Changes   []string `json:"changes,omitempty"`
	Meanwhile []string `json:"meanwhile,omitempty"`
	Next      []string `json:"next,omitempty"`
}

func (o *proposeOutcome) result() proposeResult {
	return proposeResult{
		ID:        o.id,
		Outcome:   strings.ToLower(o.reply.Code.String()),
		Revision:  o.reply.Revision,
		DryRun:    o.dryRun,
		Problems:  o.reply.Problems,
		Changes:   o.reply.Changes,
		Meanwhile: o.reply.Meanwhile,
		Next:      o.reply.Next,
	}
}

// exitCode is the command's exit code; 0 also if the change would alter nothing, or its rollout has begun.
func (o *proposeOutcome) exitCode() int {
	switch o.reply.Code {
	case schema.ProposeReply_ACCEPTED, schema.ProposeReply_UNCHANGED, schema.ProposeReply_BEGUN:
		return 0
	case schema.ProposeReply_CONFLICT:
		return exitConflict
	case schema.ProposeReply_INVALID, schema.ProposeReply_TOO_LARGE, schema.ProposeReply_WITHDRAWN:
		return exitInvalid
	case schema.ProposeReply_NO_LEADER:
		return exitNoLeader
	}
	return exitUnknown
}

// table is the text form of an outcome.
func (o *proposeOutcome) table() table {
	t := table{}
	problems := strings.Join(o.reply.Problems, "; ")
	switch revision := o.reply.Revision; o.reply.Code {
	case schema.ProposeReply_ACCEPTED:
		o.addAccepted(&t)
	case schema.ProposeReply_UNCHANGED:
		t.add(fmt.Sprintf("nothing to change: revision %d is the same", revision))
	case schema.ProposeReply_CONFLICT:
		t.add(fmt.Sprintf("conflict: %s", problems))
		t.addIndented(fmt.Sprintf("changed since revision %d:", o.base), o.reply.Meanwhile)
		t.add("get the newest revision, repeat the change there, and propose it as a new change")
	case schema.ProposeReply_INVALID, schema.ProposeReply_TOO_LARGE:
		t.addIndented("rejected; nothing has changed:", o.reply.Problems)
	case schema.ProposeReply_BEGUN:
		t.add(fmt.Sprintf("the rollout as revision %d has begun; \"config pending\" shows its progress",
			revision))
	case schema.ProposeReply_WITHDRAWN:
		t.addIndented(fmt.Sprintf("withdrawn; revision %d remains in force:", revision),
			o.reply.Problems)
	case schema.ProposeReply_NO_LEADER:
		t.add("not tried: " + problems)
	default:
		t.add("it is not known whether the change came into force; it is safe to repeat it with --id " + o.id)
	}
	return t
}

func (o *proposeOutcome) addAccepted(t *table) {
	inForce := "in force as"
	if o.dryRun {
		inForce = "it would come into force as"
	}
	t.addIndented(fmt.Sprintf("%s revision %d", inForce, o.reply.Revision), o.reply.Changes)
	if len(o.reply.Next) > 0 {
		t.addIndented("preview:", o.reply.Next)
	}
}

// printOutcome prints the outcome of a proposal. JSON always goes to standard output; the text of a change
// that was not made goes to standard error.
func (g *globalFlags) printOutcome(cmd *cobra.Command, o proposeOutcome) error {
	var text bytes.Buffer
	if err := g.print(&text, o.result(), o.table()); err != nil {
		return err
	}
	code := o.exitCode()
	out := cmd.OutOrStdout()
	if code != 0 && g.output != "json" {
		out = cmd.ErrOrStderr()
	}
	if _, err := out.Write(text.Bytes()); err != nil {
		return err
	}
	if code != 0 {
		return exitError{code: code}
	}
	return nil
}
