package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/node"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
	"moorstack/internal/tomlfile"
	"moorstack/internal/verify/expect"
)

// configFile is the configuration as people write it: the document and the revision that
// it was made from.
type configFile struct {
	Revision uint64 `toml:"revision" json:"revision"`
	clusterstate.Document
}

func newConfig(g *global) *cobra.Command {
	var r remote
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Read and change the configuration that the instances agree on",
		Long: `config reads and changes the agreed configuration: classes, tenants and sections.

A change is a whole document, made from a revision. It comes into force at all instances
or at none, and is refused if another change came first. The usual way:

  moorstack config get > config.toml        # it names its revision
  $EDITOR config.toml
  moorstack config propose config.toml --dry-run
  moorstack config propose config.toml --note "quotes are worth less on clinic days"

Exit codes: 0 done, 1 failed, 2 wrong words or file, 3 conflict, 4 refused as invalid or
too large, 5 no leader or cut off, 6 not known whether it came into force (the same
--id again is safe), 7 not allowed.`,
	}
	r.addFlags(cmd)
	for _, c := range []*cobra.Command{newConfigGet(g, &r), newConfigDiff(g, &r), newConfigPropose(g, &r),
		newConfigHistory(g, &r), newConfigRollback(g, &r), newConfigWatch(g, &r), newConfigSet(g, &r),
		newConfigPending(g, &r), newConfigWithdraw(g, &r)} {
		addOutput(c, g)
		cmd.AddCommand(c)
	}
	return cmd
}

func fileOf(rev *schema.Revision) (*configFile, error) {
	d, err := clusterstate.DecodeDocument(rev.Document)
	if err != nil {
		return nil, err
	}
	return &configFile{rev.Revision, *d}, nil
}

// configAt asks for a revision; 0: the newest.
func configAt(ctx context.Context, c schema.ControlClient, revision uint64) (*configFile, error) {
	rev, err := c.GetConfig(ctx, &schema.GetConfigRequest{Revision: revision})
	if err != nil {
		return nil, err
	}
	return fileOf(rev)
}

func writeTOML(w io.Writer, f *configFile) error {
	e := toml.NewEncoder(w)
	e.Indent = ""
	return e.Encode(f)
}

func newConfigGet(g *global, r *remote) *cobra.Command {
	var revision uint64
	var local bool
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Print the agreed configuration as a file that propose takes",
		Long: `get prints the newest agreed configuration, in TOML, or in JSON with --output json. It
asks the group, so that what it prints was in force when it was called. With --local it
prints what this instance has, and says how old that is if the instance is cut off.`,
		Example: "  moorstack config get --config n1.toml > config.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				rev, err := c.GetConfig(ctx, &schema.GetConfigRequest{Revision: revision, Local: local})
				if err != nil {
					return err
				}
				f, err := fileOf(rev)
				if err != nil {
					return err
				}
				out := cmd.OutOrStdout()
				if rev.Stale {
					fmt.Fprintf(
						cmd.ErrOrStderr(),
						"this instance is cut off; it has heard of no leader for %.1f s\n",
						rev.AgeS,
					)
				}
				if g.output == "json" {
					return g.print(out, f, table{})
				}
				fmt.Fprintf(out, "# by %s, %s%s\n", dash(rev.Author), when(rev.AtMs), note(rev.Note))
				return writeTOML(out, f)
			})
		},
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "an older revision")
	cmd.Flags().BoolVar(&local, "local", false, "what this instance has, without asking the others")
	return cmd
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func note(s string) string {
	if s == "" {
		return ""
	}
	return ": " + strings.ReplaceAll(s, "\n", " ")
}

func when(ms int64) string {
	if ms <= 0 {
		return "at the beginning"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func newConfigDiff(g *global, r *remote) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE | diff REV [REV]",
		Short: "Say what is different between a file or revision and the newest, or between two revisions",
		Example: `  moorstack config diff config.toml
  moorstack config diff 12 15`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				var docs [2]*configFile
				for i := range docs {
					rev := uint64(0)
					if i < len(args) {
						n, err := strconv.ParseUint(args[i], 10, 64)
						if err != nil && i == 0 && len(args) == 1 {
							if docs[i], _, err = readConfigFile(args[0]); err != nil {
								return err
							}
							continue
						}
						if err != nil {
							return fmt.Errorf("%q is not a revision", args[i])
						}
						rev = n
					}
					got, err := c.GetConfig(ctx, &schema.GetConfigRequest{Revision: rev})
					if err != nil {
						return err
					}
					if docs[i], err = fileOf(got); err != nil {
						return err
					}
				}
				from, to := docs[0], docs[1]
				if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
					from, to = to, from // what the file would change
				}
				lines := clusterstate.Diff(&from.Document, &to.Document)
				t := table{}
				for _, l := range lines {
					t.add(l)
				}
				return g.print(cmd.OutOrStdout(), lines, t)
			})
		},
	}
}

// readConfigFile reads a document as people write it.
func readConfigFile(path string) (*configFile, []byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	f := &configFile{}
	return f, raw, tomlfile.Decode(path, raw, f)
}

var about = regexp.MustCompile(`^(class|tenant) "([^"]+)": (?:(\w+): )?`)

// located puts the file and line before a problem with a class or tenant.
func located(path string, raw []byte, problem string) string {
	m := about.FindStringSubmatch(problem)
	if m == nil {
		return path + ": " + problem
	}
	lines := strings.Split(string(raw), "\n")
	block, found := -1, -1
	for i, l := range lines {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			if found >= 0 {
				break
			}
			block = -1
			if l == "[["+m[1]+"]]" {
				block = i
			}
		}
		if block >= 0 && strings.HasPrefix(l, "name") && strings.Contains(l, strconv.Quote(m[2])) {
			found = i
		}
	}
	if found < 0 {
		return path + ": " + problem
	}
	for i := block + 1; i < len(lines) && !strings.HasPrefix(strings.TrimSpace(lines[i]), "["); i++ {
		if key, _, ok := strings.Cut(lines[i], "="); ok && m[3] != "" && strings.TrimSpace(key) == m[3] {
			found = i
		}
	}
	return fmt.Sprintf("%s:%d: %s", path, found+1, problem)
}

type proposeFlags struct {
	id, note string
	base     uint64
	dryRun   bool
	noWait   bool
	wait     time.Duration
	expect   []string
}

// patience is how long the call may take.
func (f *proposeFlags) patience() time.Duration { return max(f.wait, time.Second) }

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

func newConfigPropose(g *global, r *remote) *cobra.Command {
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
				return tomlfile.ErrorAt(
					args[0],
					raw,
					"revision",
					"it must name the revision that the file was made from, as get prints it",
				)
			}
			return r.within(cmd.Context(), f.patience(), func(ctx context.Context,
				c schema.ControlClient) error {
				return propose(ctx, cmd, g, c, &f, base, &doc.Document, func(problem string) string {
					return located(args[0], raw, problem)
				})
			})
		},
	}
	f.add(cmd)
	cmd.Flags().
		Uint64Var(&f.base, "base", 0, "the revision that the file was made from, in place of the file's word")
	return cmd
}

// propose asks for a change and says what became of it.
func propose(
	ctx context.Context,
	cmd *cobra.Command,
	g *global,
	c schema.ControlClient,
	f *proposeFlags,
	base uint64,
	doc *clusterstate.Document,
	located func(string) string,
) error {
	if err := expected(cmd, f.expect, doc); err != nil {
		return err
	}
	id := f.id
	if id == "" {
		var err error
		if id, err = controlapi.NewChangeID(); err != nil {
			return err
		}
	}
	b, err := json.Marshal(doc)
	if err != nil {
		return exitError{exitInvalid, err}
	}
	reply, err := c.Propose(
		ctx,
		&schema.ProposeRequest{Id: id, Base: base, Note: f.note, Document: b, DryRun: f.dryRun,
			NoWait: f.noWait},
	)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return exitError{exitUnknown,
			fmt.Errorf("not decided within %v; \"config pending\" tells how it stands, "+
				"and the same again is safe: --id %s", f.patience(), id)}
	}
	if err != nil {
		return err
	}
	for i, p := range reply.Problems {
		if reply.Code == schema.ProposeReply_INVALID {
			reply.Problems[i] = located(p)
		}
	}
	t := table{}
	result := struct {
		ID        string   `json:"id"`
		Outcome   string   `json:"outcome"`
		Revision  uint64   `json:"revision"`
		DryRun    bool     `json:"dry_run"`
		Problems  []string `json:"problems,omitempty"`
		Changes   []string `json:"changes,omitempty"`
		Meanwhile []string `json:"meanwhile,omitempty"`
		Next      []string `json:"next,omitempty"`
	}{
		id, strings.ToLower(reply.Code.String()), reply.Revision, f.dryRun, reply.Problems, reply.Changes,
		reply.Meanwhile, reply.Next,
	}
	code := 0
	switch reply.Code {
	case schema.ProposeReply_ACCEPTED:
		word := "in force as"
		if f.dryRun {
			word = "it would come into force as"
		}
		t.add(fmt.Sprintf("%s revision %d", word, reply.Revision))
		for _, l := range reply.Changes {
			t.add("  " + l)
		}
		if len(reply.Next) > 0 {
			t.add("by its words:")
		}
		for _, l := range reply.Next {
			t.add("  " + l)
		}
	case schema.ProposeReply_UNCHANGED:
		t.add(fmt.Sprintf("nothing to change: revision %d says the same", reply.Revision))
	case schema.ProposeReply_CONFLICT:
		code = exitConflict
		t.add(fmt.Sprintf("conflict: %s", strings.Join(reply.Problems, "; ")))
		t.add(fmt.Sprintf("changed since revision %d:", base))
		for _, l := range reply.Meanwhile {
			t.add("  " + l)
		}
		t.add("get the newest, make the change there, and propose it as a new change")
	case schema.ProposeReply_INVALID, schema.ProposeReply_TOO_LARGE:
		code = exitInvalid
		t.add("refused; nothing has changed:")
		for _, l := range reply.Problems {
			t.add("  " + l)
		}
	case schema.ProposeReply_BEGUN:
		t.add(fmt.Sprintf("it takes hold as revision %d; \"config pending\" tells how it stands",
			reply.Revision))
	case schema.ProposeReply_WITHDRAWN:
		code = exitInvalid
		t.add(fmt.Sprintf("withdrawn; revision %d is in force as before:", reply.Revision))
		for _, l := range reply.Problems {
			t.add("  " + l)
		}
	case schema.ProposeReply_NO_LEADER:
		code = exitNoLeader
		t.add("not tried: " + strings.Join(reply.Problems, "; "))
	default:
		code = exitUnknown
		t.add("not known whether it came into force; the same again is safe: --id " + id)
	}
	var text bytes.Buffer
	if err := g.print(&text, result, t); err != nil {
		return err
	}
	if code == 0 || g.output == "json" {
		_, err = cmd.OutOrStdout().Write(text.Bytes())
	} else {
		_, err = cmd.ErrOrStderr().Write(text.Bytes())
	}
	if err == nil && code != 0 {
		return exitError{code: code}
	}
	return err
}

// expected checks expectations under a document that has not been proposed yet.
func expected(cmd *cobra.Command, files []string, doc *clusterstate.Document) error {
	failed := 0
	for _, path := range files {
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
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
			return exitError{exitInvalid, err}
		}
		for _, r := range s.Run(nil) {
			if !r.Passed() {
				failed++
				printFailure(cmd, r)
			}
		}
	}
	if failed > 0 {
		return exitError{
			exitInvalid,
			fmt.Errorf("%d expectations fail under this change; it was not proposed", failed),
		}
	}
	return nil
}
