package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// addOutput gives a command the flag --output.
func addOutput(cmd *cobra.Command, g *global) {
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

// print writes the table, or the value as JSON.
func (g *global) print(w io.Writer, value any, t table) error {
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
