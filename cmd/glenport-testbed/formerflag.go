package main

import "github.com/spf13/cobra"

// addFormerFlag adds a former name of a flag. The former flag sets the same value, is hidden from the help and prints a
// warning when it is used.
func addFormerFlag(c *cobra.Command, former, name string) {
	flag := *c.Flags().Lookup(name)
	flag.Name, flag.Shorthand = former, ""
	flag.Hidden, flag.Deprecated = true, "use --"+name
	c.Flags().AddFlag(&flag)
}
