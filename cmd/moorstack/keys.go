package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/operate/keys"
)

const day = 24 * time.Hour

func newKeys(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "keys",
		Short: "Make the certificates that instances and operators know each other by",
	}
	cmd.AddCommand(newKeysCA(), newKeysIssue(), newKeysShow(g))
	return cmd
}

func newKeysCA() *cobra.Command {
	var dir, name string
	var days int
	var replace bool
	cmd := &cobra.Command{
		Use:   "new-ca",
		Short: "Make the authority of a group: ca.crt, which all need, and ca.key, to be kept away",
		Long: `new-ca makes a small authority (CA) for one group. Every instance and every remote
operator needs ca.crt. Only "keys issue" needs ca.key: keep it off the instances.

To change the authority of a running group, put the old and the new certificate into one
file ca.crt everywhere, issue new certificates, then take the old one out.`,
		Example: "  moorstack keys new-ca --dir keys",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if days < 1 {
				return fmt.Errorf("--days: %d is not a number of days", days)
			}
			ca, err := keys.NewCA(name, time.Now(), time.Duration(days)*day)
			if err == nil {
				err = ca.Write(dir, "ca", replace)
			}
			if err != nil {
				return exitError{exitFailed, err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s and %s are made, good for %d days\n",
				filepath.Join(dir, "ca.crt"), filepath.Join(dir, "ca.key"), days)
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "keys", "where the files go")
	cmd.Flags().StringVar(&name, "name", "moorstack group", "what the authority is called")
	cmd.Flags().IntVar(&days, "days", 3650, "how long it is good for")
	cmd.Flags().BoolVar(&replace, "replace", false, "write over files that are there")
	return cmd
}

func newKeysIssue() *cobra.Command {
	var dir, out, role string
	var days int
	var replace bool
	cmd := &cobra.Command{
		Use:   "issue NAME",
		Short: "Issue a certificate for an instance, an operator or a reader",
		Example: `  moorstack keys issue n1 --dir keys
  moorstack keys issue night-desk --role reader --days 30`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if days < 1 {
				return fmt.Errorf("--days: %d is not a number of days", days)
			}
			ca, err := keys.ReadKeyPair(filepath.Join(dir, "ca.crt"), filepath.Join(dir, "ca.key"))
			if err != nil {
				return exitError{exitFailed, fmt.Errorf("the authority: %w", err)}
			}
			p, err := ca.Issue(args[0], keys.Role(role), time.Now(), time.Duration(days)*day)
			if err != nil {
				return err
			}
			if out == "" {
				out = dir
			}
			if err := p.Write(out, args[0], replace); err != nil {
				return exitError{exitFailed, err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s and .key are made for %s %s, good for %d days\n",
				filepath.Join(out, args[0]+".crt"), role, args[0], days)
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "keys", "where the authority is")
	cmd.Flags().StringVar(&out, "out", "", "where the files go, if not there")
	cmd.Flags().StringVar(&role, "role", string(keys.RoleInstance), "instance, operator or reader")
	cmd.Flags().IntVar(&days, "days", 365, "how long it is good for, at the most as long as the authority")
	cmd.Flags().BoolVar(&replace, "replace", false, "write over files that are there, to rotate the keys")
	return cmd
}

func newKeysShow(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "show FILE.crt...",
		Short:   "Say whose certificates these are and until when they are good",
		Example: "  moorstack keys show keys/*.crt",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			type row struct {
				File    string    `json:"file"`
				Name    string    `json:"name"`
				Role    string    `json:"role"`
				Expires time.Time `json:"expires"`
				Good    bool      `json:"good"`
			}
			var rows []row
			t := table{head: []string{"FILE", "NAME", "ROLE", "EXPIRES", ""}}
			now := time.Now()
			for _, path := range args {
				p, err := keys.ReadKeyPair(path, path)
				if err != nil {
					return exitError{exitFailed, err}
				}
				c, err := p.Certificate()
				if err != nil {
					return exitError{exitFailed, fmt.Errorf("%s: %w", path, err)}
				}
				r := row{path, c.Subject.CommonName, string(keys.RoleOf(c)), c.NotAfter.UTC(),
					now.After(c.NotBefore) && now.Before(c.NotAfter)}
				if c.IsCA {
					r.Role = "authority"
				}
				state := fmt.Sprintf("%d days left", int(c.NotAfter.Sub(now)/day))
				if !r.Good {
					state = "EXPIRED or not good yet"
				}
				rows = append(rows, r)
				t.add(r.File, r.Name, r.Role, r.Expires.Format(time.DateTime), state)
			}
			return g.print(cmd.OutOrStdout(), rows, t)
		},
	}
	addOutput(cmd, g)
	return cmd
}
