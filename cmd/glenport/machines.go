package main

import (
	"context"

	"glenport/internal/controller/server"

	"github.com/spf13/cobra"
)

func newMachinesCommand() *cobra.Command {
	return withAPI(&cobra.Command{
		Use:     "machines",
		Short:   "Show the machines",
		Example: "  glenport machines -o json",
		Args:    cobra.NoArgs,
	}, func(ctx context.Context, client *apiClient, _ []string) error {
		var machines listResponse[server.Machine]
		if err := client.get(ctx, "/v1/machines"+listLimit, &machines); err != nil {
			return err
		}
		return client.print(machines.Items, "MACHINE\tZONE\tTYPE\tSTATE\tFREE CORES\tFREE GIB", func(p *printer) {
			for _, m := range machines.Items {
				p.printf("%s\t%d\t%s\t%s\t%g\t%g\n", m.ID, m.Zone, m.MachineType, m.State, m.FreeCores, m.FreeMemoryGiB)
			}
		})
	})
}
