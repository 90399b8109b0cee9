package main

import "github.com/spf13/cobra"

// addFormerFlag adds the former name of a flag. The former flag sets the same value, is hidden from the help, and
// prints a deprecation warning when it is used.
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
