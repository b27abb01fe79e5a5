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
		Short: "Create the certificates that instances and operators identify themselves with",
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
		Short: "Create a group's authority: ca.crt, for everybody, and ca.key, to be kept off the instances",
		Long: `new-ca creates a certificate authority (CA) for one group. Every instance and every remote
operator needs ca.crt. Only "keys issue" needs ca.key: keep it off the instances.

To change the authority of a running group, put the old and the new certificate into one
file ca.crt everywhere, issue new certificates, then remove the old authority's.`,
		Example: "  moorstack keys new-ca --dir keys",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if days < 1 {
				return fmt.Errorf("--days must be at least 1, got %d", days)
			}
			ca, err := keys.NewCA(name, time.Now(), time.Duration(days)*day)
			if err == nil {
				err = ca.Write(dir, "ca", replace)
			}
			if err != nil {
				return exitError{exitFailed, err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "created %s and %s, valid for %d days\n",
				filepath.Join(dir, "ca.crt"), filepath.Join(dir, "ca.key"), days)
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "keys", "where the files go")
	cmd.Flags().StringVar(&name, "name", "moorstack group", "the authority's name")
	cmd.Flags().IntVar(&days, "days", 3650, "how many days it is valid")
	cmd.Flags().BoolVar(&replace, "replace", false, "overwrite existing files")
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
				return fmt.Errorf("--days must be at least 1, got %d", days)
			}
			ca, err := keys.ReadKeyPair(filepath.Join(dir, "ca.crt"), filepath.Join(dir, "ca.key"))
			if err != nil {
				return exitError{exitFailed, fmt.Errorf("reading the authority: %w", err)}
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
			fmt.Fprintf(cmd.OutOrStdout(), "created %s and .key for %s %s, valid for %d days\n",
				filepath.Join(out, args[0]+".crt"), role, args[0], days)
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "keys", "the directory of the authority")
	cmd.Flags().StringVar(&out, "out", "", "where the files go; empty: the directory of the authority")
	cmd.Flags().StringVar(&role, "role", string(keys.RoleInstance), "instance, operator or reader")
	cmd.Flags().IntVar(&days, "days", 365, "how many days it is valid, at most as long as the authority")
	cmd.Flags().BoolVar(&replace, "replace", false, "overwrite existing files, to rotate the keys")
	return cmd
}

func newKeysShow(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "show FILE.crt...",
		Short:   "Show the owners and expiry times of certificates",
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
					state = "EXPIRED or not valid yet"
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
