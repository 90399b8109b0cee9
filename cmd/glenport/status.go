package main

import (
	"io"

	"glenport/internal/protocol"

	"github.com/spf13/cobra"
)

func newStatusCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show the statistics of a scheduler",
		Example: "  glenport status --scheduler 127.0.0.1:7400",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := request[*protocol.StatusReply](c.Context(), address, &protocol.StatusRequest{})
			if err != nil {
				return err
			}
			return printStatus(c.OutOrStdout(), status)
		},
	}
	addSchedulerFlag(c, &address)
	return c
}

func printStatus(out io.Writer, status *protocol.StatusReply) error {
	p := &printer{w: out}
	p.printf("scheduler %s\n", status.Name)
	for _, stat := range status.Stats {
		p.printf("  %-24s %12.6g %s\n", stat.Name, stat.Value, stat.Unit)
	}
	return p.err
}
