package main

import "github.com/spf13/cobra"

// addFormerFlag adds the former name of a flag. It sets the same value, is not in the help, and a call that has it
// prints that it is deprecated.
func addFormerFlag(c *cobra.Command, former, name string) {
	flags := c.Flags()
	if c.PersistentFlags().Lookup(name) != nil {
		flags = c.PersistentFlags()
	}
	flag := *flags.Lookup(name)
	flag.Name, flag.Shorthand, flag.Hidden = former, "", true
	flag.Deprecated = "use --" + name
	flags.AddFlag(&flag)
}
