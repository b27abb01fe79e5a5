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

// globalFlags are the flags that several commands share.
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
		Short: "A broker node between the services of many teams",
		Long: `moorstack accepts jobs from clients, hands each to a worker, and ensures that the
client gets exactly one final answer.

Without a subcommand it runs as a node of the platform: BALANCER_CONFIG names its
configuration file in JSON, and BALANCER_NAME, BALANCER_LISTEN, BALANCER_DISCOVERY
and BALANCER_ADMIN_ADDR override the values of that file. Operators call the node at
the last of these addresses: see "moorstack call".`,
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
			// A node logs the error that ends it instead of printing it, as in all earlier versions.
			if err := servePlatform(log, faktoryFile); err != nil {
				log.WithError(err).Fatal("node stopped with an error")
			}
			return nil
		},
	}
	root.Flags().
		StringVar(&faktoryFile, "faktory", "",
			"also serve the Faktory work protocol, as this `file` configures it")
	root.PersistentFlags().
		StringVar(&g.logLevel, "log-level", "info",
			"minimum level of log messages: debug, info, warn or error")
	root.PersistentFlags().StringVar(&g.logFormat, "log-format", "text", "log format: text or json")
	root.AddCommand(newVersion(), newCall(), newServe(&g), newConfig(&g), newCluster(&g), newDuty(&g),
		newKeys(&g), newStore(&g), newExpect(&g), newEmulate(&g),
		newLabCommand("experiment",
			"Run experiments in emulated environments, and report which differences are significant"),
		newLabCommand("load",
			"Send jobs to a node on loopback at a steady rate, and measure the results"),
		newRoute(&g), newProve(&g))
	rejectUnknownCommands(root)
	return root
}

// rejectUnknownCommands makes every command that only groups others reject an argument that names none of
// them. Cobra does so only at the root; elsewhere it prints the help text and exits with 0.
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
		hint := fmt.Sprintf("%q lists the commands", cmd.CommandPath()+" --help")
		if near := cmd.SuggestionsFor(args[0]); len(near) > 0 {
			hint = fmt.Sprintf("did you mean %q?", near[0])
		}
		return exitError{exitUsage, fmt.Errorf("unknown command %q for %q; %s", args[0], cmd.CommandPath(),
			hint)}
	}
}

// logger returns a logger to standard error, with the level and format that the flags set.
func (g *globalFlags) logger() (*logrus.Logger, error) {
	log := logrus.New()
	level, err := logrus.ParseLevel(g.logLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level must be debug, info, warn or error, got %q", g.logLevel)
	}
	log.SetLevel(level)
	switch g.logFormat {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, fmt.Errorf("--log-format must be text or json, got %q", g.logFormat)
	}
	return log, nil
}

// notifySignals returns a channel that receives the signals that a node handles.
func notifySignals() chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// servePlatform runs a node of the platform until it ends.
func servePlatform(log *logrus.Logger, faktoryFile string) error {
	signals := notifySignals()
	cfg, err := platform.ReadConfig()
	if err != nil {
		return err
	}
	var faktoryCfg *faktory.Config
	if faktoryFile != "" {
		if faktoryCfg, err = faktory.ReadConfig(faktoryFile); err != nil {
			return err
		}
	}
	n, err := node.New(node.Options{Platform: cfg, Faktory: faktoryCfg, Log: log.WithField("node", cfg.Name)})
	if err != nil {
		return err
	}
	return n.Run(signals)
}
