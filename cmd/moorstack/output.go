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

// addOutput gives a command the flag --output.
func addOutput(cmd *cobra.Command, g *globalFlags) {
	cmd.Flags().StringVar(&g.output, "output", "table", "form of the answer: table or json")
}

// table is what a command prints for people.
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

// addIndented adds a line, and lines under it.
func (t *table) addIndented(head string, lines []string) {
	t.add(head)
	for _, l := range lines {
		t.add("  " + l)
	}
}

// addUnlessEmpty adds a row of a name and a text, if there is one.
func (t *table) addUnlessEmpty(name, text string) {
	if text != "" {
		t.add(name, text)
	}
}

// print writes the table, or the value as JSON.
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
	return fmt.Errorf("--output: %q is not table or json", g.output)
}

// dash is a text, or a dash in the place of an empty one.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// oneLine is a text with its line ends as spaces.
func oneLine(s string) string { return strings.ReplaceAll(s, "\n", " ") }

// revisionTime is when a revision was proposed, from milliseconds since 1970.
func revisionTime(ms int64) string {
	if ms <= 0 {
		return "at the beginning"
	}
	return timeOrDash(ms)
}

// revisionOrigin is who proposed a revision, when and why.
func revisionOrigin(rev *schema.Revision) string {
	text := fmt.Sprintf("by %s, %s", dash(rev.Author), revisionTime(rev.AtMs))
	if rev.Note != "" {
		text += ": " + oneLine(rev.Note)
	}
	return text
}

// isTerminal says whether a file is a terminal.
func isTerminal(f *os.File) bool {
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}

// showProgress writes over the line of progress on standard error, if people read that.
func showProgress(format string, args ...any) {
	if isTerminal(os.Stderr) {
		fmt.Fprintf(os.Stderr, "\r"+format, args...)
	}
}

// endProgress erases the line of progress.
func endProgress() {
	if isTerminal(os.Stderr) {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
}

// timeOrDash is a time in milliseconds since 1970, or a dash if there is none.
func timeOrDash(ms int64) string {
	if ms <= 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
