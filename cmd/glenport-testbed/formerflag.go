package main

import "github.com/spf13/cobra"

// formerFlag keeps an earlier name of a flag. It sets the same value, is not in the help and warns when it is used.
func formerFlag(c *cobra.Command, former, name string) {
	flag := *c.Flags().Lookup(name)
	flag.Name, flag.Shorthand = former, ""
	flag.Hidden, flag.Deprecated = true, "use --"+name
	c.Flags().AddFlag(&flag)
}
