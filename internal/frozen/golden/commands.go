package golden

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Commands describes a command and all of its subcommands.
func Commands(root *cobra.Command) string {
	var b strings.Builder
	writeCommands(&b, root)
	return b.String()
}

// writeCommands writes a command and all of its subcommands: use line, aliases, hidden state and flags with
// shorthand, type, default and hidden state. It leaves out help texts, whose wording may change.
func writeCommands(b *strings.Builder, c *cobra.Command) {
	c.InitDefaultHelpFlag()
	fmt.Fprintf(b, "command %s\n  use %s\n", c.CommandPath(), c.Use)
	if c.Hidden || c.Deprecated != "" || len(c.Aliases) > 0 || c.DisableFlagParsing {
		fmt.Fprintf(b, "  hidden=%t deprecated=%q aliases=%q unparsed=%t\n", c.Hidden, c.Deprecated,
			c.Aliases, c.DisableFlagParsing)
	}
	c.NonInheritedFlags().VisitAll(func(f *pflag.Flag) {
		value := f.DefValue
		if f.Name == "workers" { // the default depends on the machine
			value = "(processors)"
		}
		fmt.Fprintf(b, "  flag --%s shorthand=%q type=%s default=%q alone=%q persistent=%t hidden=%t\n",
			f.Name, f.Shorthand, f.Value.Type(), value, f.NoOptDefVal,
			c.PersistentFlags().Lookup(f.Name) != nil, f.Hidden || f.Deprecated != "")
	})
	for _, sub := range c.Commands() {
		writeCommands(b, sub)
	}
}
