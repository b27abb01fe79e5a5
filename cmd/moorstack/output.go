package main

import (
	"encoding/json"
	"fmt"
	"io"
	"moorstack/internal/schema"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"
)

// addOutput adds the flag --output to a command.
func addOutput(cmd *cobra.Command, g *globalFlags) {
	cmd.Flags().StringVar(&g.output, "output", "table", "output format: table or json")
}

// table is the text output of a command.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// addIndented adds a heading and indented lines below it.
func (t *table) addIndented(head string, lines []string) {
	t.add(head)
	for _, l := range lines {
		t.add("  " + l)
	}
}

// addUnlessEmpty adds a row of a name and a text, unless the text is empty.
func (t *table) addUnlessEmpty(name, text string) {
	if text != "" {
		t.add(name, text)
	}
}

// print writes the table, or the value as JSON, as --output says.
func (g *globalFlags) print(w io.Writer, value any, t table) error {
	switch g.output {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(value)
	case "table", "":
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		if len(t.head) > 0 {
			fmt.Fprintln(tw, strings.Join(t.head, "\t"))
		}
		for _, row := range t.rows {
			fmt.Fprintln(tw, strings.Join(row, "\t"))
		}
		return tw.Flush()
	}
	return fmt.Errorf("--output must be table or json, got %q", g.output)
}

// orDash returns the text, or a dash if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// oneLine replaces the line breaks of a text by spaces.
func oneLine(s string) string { return strings.ReplaceAll(s, "\n", " ") }

// revisionTime formats the time at which a revision was proposed, in milliseconds since 1970.
func revisionTime(ms int64) string {
	if ms <= 0 {
		return "at the beginning"
	}
	return timeOrDash(ms)
}

// revisionOrigin describes who proposed a revision, when and why.
func revisionOrigin(rev *schema.Revision) string {
	text := fmt.Sprintf("by %s, %s", orDash(rev.Author), revisionTime(rev.AtMs))
	if rev.Note != "" {
		text += ": " + oneLine(rev.Note)
	}
	return text
}

// isTerminal reports whether a file is a terminal.
func isTerminal(f *os.File) bool {
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}

// showProgress overwrites the progress line on standard error, if that is a terminal.
func showProgress(format string, args ...any) {
	if isTerminal(os.Stderr) {
		fmt.Fprintf(os.Stderr, "\r"+format, args...)
	}
}

// endProgress erases the progress line.
func endProgress() {
	if isTerminal(os.Stderr) {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
}

// timeOrDash formats a time in milliseconds since 1970, or returns a dash if there is none.
func timeOrDash(ms int64) string {
	if ms <= 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
