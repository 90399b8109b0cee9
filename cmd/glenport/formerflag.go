package main

import "github.com/spf13/cobra"

// addFormerFlag adds the former name of a flag. It sets the same value and is not in the help; the last of the two in a
// call counts.
func addFormerFlag(c *cobra.Command, former, name string) {
	flags := c.Flags()
	if c.PersistentFlags().Lookup(name) != nil {
		flags = c.PersistentFlags()
	}
	flag := *flags.Lookup(name)
	flag.Name, flag.Shorthand, flag.Hidden = former, "", true
	flags.AddFlag(&flag)
}
