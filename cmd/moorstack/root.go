package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"moorstack/internal/frontend/faktory"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/node"
)

// globalFlags are the flags of every command.
type globalFlags struct {
	logLevel  string
	logFormat string
	output    string
}

func newRoot() *cobra.Command {
	var g globalFlags
	var faktoryFile string
	root := &cobra.Command{
		Use:   "moorstack",
		Short: "A broker's node between the services of many teams",
		Long: `moorstack takes jobs from clients, hands each to a worker, and sees to it that
the client gets exactly one final answer.

Without a sub-command it is the platform's node: BALANCER_CONFIG names its
configuration in JSON, and BALANCER_NAME, BALANCER_LISTEN, BALANCER_DISCOVERY and
BALANCER_ADMIN_ADDR come before what that file says. Operators call at the last of
these: see "moorstack call".`,
		Example: `  BALANCER_CONFIG=deploy/example.json moorstack
  BALANCER_CONFIG=deploy/example.json moorstack --faktory deploy/faktory.toml`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			log, err := g.logger()
			if err != nil {
				return err
			}
			// As the node always did: what ends it is a line of its log.
			if err := servePlatform(log, faktoryFile); err != nil {
				log.WithError(err).Fatal("the node can't go on")
			}
			return nil
		},
	}
	root.Flags().
		StringVar(&faktoryFile, "faktory", "", "serve the Faktory work protocol too, as this `file` says")
	root.PersistentFlags().
		StringVar(&g.logLevel, "log-level", "info", "least level logged: debug, info, warn or error")
	root.PersistentFlags().StringVar(&g.logFormat, "log-format", "text", "form of the log: text or json")
	root.AddCommand(newVersion(), newCall(), newServe(&g), newConfig(&g), newCluster(&g), newDuty(&g),
		newKeys(&g), newStore(&g), newExpect(&g), newEmulate(&g),
		newLabCommand("experiment", "Run plans of emulated worlds, and say which differences are real"),
		newLabCommand("load", "Send jobs to a node on loopback at a steady rate, and measure"), newRoute(&g),
		newProve(&g))
	rejectUnknownCommands(root)
	return root
}

// rejectUnknownCommands has every command that only holds others reject an argument that names none
// of them. Cobra does so at the root alone, and prints help with exit code 0 elsewhere.
func rejectUnknownCommands(cmd *cobra.Command) {
	for _, c := range cmd.Commands() {
		rejectUnknownCommands(c)
	}
	if cmd.Runnable() || !cmd.HasSubCommands() {
		return
	}
	cmd.Args, cmd.SuggestionsMinimumDistance = cobra.ArbitraryArgs, 2
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return cmd.Help()
		}
		hint := fmt.Sprintf("%q lists its commands", cmd.CommandPath()+" --help")
		if near := cmd.SuggestionsFor(args[0]); len(near) > 0 {
			hint = fmt.Sprintf("did you mean %q?", near[0])
		}
		return exitError{exitUsage, fmt.Errorf("unknown command %q for %q; %s", args[0], cmd.CommandPath(),
			hint)}
	}
}

// logger is the log that the flags ask for, on standard error.
func (g *globalFlags) logger() (*logrus.Logger, error) {
	log := logrus.New()
	level, err := logrus.ParseLevel(g.logLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %q is not debug, info, warn or error", g.logLevel)
	}
	log.SetLevel(level)
	switch g.logFormat {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, fmt.Errorf("--log-format: %q is not text or json", g.logFormat)
	}
	return log, nil
}

// notifySignals has the signals that a node acts on wait for it.
func notifySignals() chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// servePlatform is the platform's node.
func servePlatform(log *logrus.Logger, faktoryFile string) error {
	signals := notifySignals()
	cfg, err := platform.ReadConfig()
	if err != nil {
		return err
	}
	var second *faktory.Config
	if faktoryFile != "" {
		if second, err = faktory.ReadConfig(faktoryFile); err != nil {
			return err
		}
	}
	n, err := node.New(node.Options{Platform: cfg, Faktory: second, Log: log.WithField("node", cfg.Name)})
	if err != nil {
		return err
	}
	return n.Run(signals)
}
