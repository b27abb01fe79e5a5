package main

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

// proposeOutcome is what became of a proposal.
type proposeOutcome struct {
	id     string // of the change
	base   uint64 // the revision that it was made from
	dryRun bool
	reply  *schema.ProposeReply
}

// proposeResult is the outcome as JSON.
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

// exitCode is the command's; 0 if nothing stands against the change.
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

// table is the outcome for people.
func (o *proposeOutcome) table() table {
	t := table{}
	problems := strings.Join(o.reply.Problems, "; ")
	switch revision := o.reply.Revision; o.reply.Code {
	case schema.ProposeReply_ACCEPTED:
		o.addAccepted(&t)
	case schema.ProposeReply_UNCHANGED:
		t.add(fmt.Sprintf("nothing to change: revision %d says the same", revision))
	case schema.ProposeReply_CONFLICT:
		t.add(fmt.Sprintf("conflict: %s", problems))
		t.addIndented(fmt.Sprintf("changed since revision %d:", o.base), o.reply.Meanwhile)
		t.add("get the newest, make the change there, and propose it as a new change")
	case schema.ProposeReply_INVALID, schema.ProposeReply_TOO_LARGE:
		t.addIndented("refused; nothing has changed:", o.reply.Problems)
	case schema.ProposeReply_BEGUN:
		t.add(fmt.Sprintf("it takes hold as revision %d; \"config pending\" tells how it stands", revision))
	case schema.ProposeReply_WITHDRAWN:
		t.addIndented(fmt.Sprintf("withdrawn; revision %d is in force as before:", revision),
			o.reply.Problems)
	case schema.ProposeReply_NO_LEADER:
		t.add("not tried: " + problems)
	default:
		t.add("not known whether it came into force; the same again is safe: --id " + o.id)
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
		t.addIndented("by its words:", o.reply.Next)
	}
}

// printOutcome prints what became of a proposal. JSON goes to standard output whatever it was, a table of a
// change that is not made to standard error.
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
