package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// callTimeout bounds the connection attempt and then the wait for the answer. A node must answer within a
// second.
const callTimeout = 3 * time.Second

func newCall() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "call ADDRESS status|stats|maint-on ID|maint-off ID|standby|active",
		Short: "Call a node of the platform at its admin address",
		Long: `call sends one operator command to a node's admin address (admin_addr in its
configuration) and prints the answer. docs/operators/on-call.md says when to use which.

It exits with 0 if the node accepts the command, and with 1 if the node refuses it or does
not answer.`,
		Example: `  moorstack call 127.0.0.1:7171 status
  moorstack call 127.0.0.1:7171 stats --output json
  moorstack call 127.0.0.1:7171 maint-on s-5be2a07c`,
		Args: cobra.RangeArgs(2, 3),
		RunE: func(cmd *cobra.Command, args []string) error {
			if output != "table" && output != "json" {
				return fmt.Errorf("--output must be table or json, got %q", output)
			}
			reply, err := sendCommand(args[0], strings.Join(args[1:], " "))
			if err != nil {
				return exitError{exitFailed, err}
			}
			if metrics, ok := strings.CutSuffix(reply, "\n--\n"); ok {
				return printMetrics(cmd.OutOrStdout(), metrics, output)
			}
			if strings.HasPrefix(reply, "ACK") {
				_, err = io.WriteString(cmd.OutOrStdout(), reply)
				return err
			}
			return exitError{exitFailed, errors.New(strings.TrimSpace(reply))}
		},
	}
	cmd.Flags().StringVar(&output, "output", "table", "output format of the metrics: table or json")
	return cmd
}

// sendCommand sends one command line to a node's admin address and returns the whole answer.
func sendCommand(address, line string) (string, error) {
	if strings.ContainsAny(line, "\r\n") {
		return "", errors.New("a command must be a single line")
	}
	c, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return "", fmt.Errorf("%w; is this the node's admin_addr, and is the node running?", err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(io.LimitReader(c, 1<<20))
	if err != nil {
		return "", fmt.Errorf("the node at %s does not answer: %w", address, err)
	}
	if len(reply) == 0 {
		return "", fmt.Errorf("the node at %s closed the connection without an answer", address)
	}
	return string(reply), nil
}

// printMetrics prints the metrics as JSON, unchanged, or as a table.
func printMetrics(w io.Writer, metrics, output string) error {
	if output == "json" {
		_, err := fmt.Fprintln(w, metrics)
		return err
	}
	var s struct {
		Results                                          map[string]map[string]uint64
		Forwards, Outstanding, Discovered, Ejected, Left uint64
	}
	if err := json.Unmarshal([]byte(metrics), &s); err != nil {
		return exitError{exitFailed, fmt.Errorf("decoding the metrics: %w", err)}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tSUCCEEDED\tDECLINED\tABORTED")
	for _, name := range slices.Sorted(maps.Keys(s.Results)) {
		c := s.Results[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", name, c["succeeded"], c["declined"], c["aborted"])
	}
	fmt.Fprintf(t, "\nforwards\t%d\noutstanding\t%d\ndiscovered\t%d\nejected\t%d\nleft\t%d\n", s.Forwards,
		s.Outstanding, s.Discovered, s.Ejected, s.Left)
	return t.Flush()
}
