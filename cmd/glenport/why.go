package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"glenport/internal/controller/api"

	"github.com/spf13/cobra"
)

// followInterval is the time between two requests with --follow.
const followInterval = 500 * time.Millisecond

func newWhyCommand() *cobra.Command {
	var follow bool
	c := withAPI(&cobra.Command{
		Use:     "why ID",
		Short:   "Explain why a job's containers, or one container, do not run",
		Example: "  glenport why reports\n  glenport why reports.0 --follow",
		Args:    cobra.ExactArgs(1),
	}, func(ctx context.Context, client *apiClient, args []string) error {
		if follow {
			return followReasons(ctx, client, args[0])
		}
		explanations, err := explain(ctx, client, args[0])
		if err != nil {
			return err
		}
		return printReasons(client, args[0], explanations)
	})
	c.Flags().BoolVarP(&follow, "follow", "f", false, "print the reasons each time they change")
	return c
}

// followReasons prints the reasons each time they change, until a request fails.
func followReasons(ctx context.Context, client *apiClient, id string) error {
	for before := ""; ; time.Sleep(followInterval) {
		explanations, err := explain(ctx, client, id)
		if err != nil {
			return err
		}
		codes := reasonCodes(explanations)
		if codes == before {
			continue
		}
		before = codes
		if _, err := fmt.Fprintln(client.out, time.Now().Format("15:04:05.0")); err != nil {
			return err
		}
		if err := printReasons(client, id, explanations); err != nil {
			return err
		}
	}
}

// explain returns the explanations of a job, or of a container if the ID has a dot. It returns none for a container
// without reasons.
func explain(ctx context.Context, client *apiClient, id string) ([]api.Explanation, error) {
	if !strings.Contains(id, ".") {
		var explanations listResponse[api.Explanation]
		err := client.get(ctx, jobsPath+"/"+id+"/why", &explanations)
		return explanations.Items, err
	}
	var explanation api.Explanation
	if err := client.get(ctx, containersPath+"/"+id+"/why", &explanation); err != nil || len(explanation.Reasons) == 0 {
		return nil, err
	}
	return []api.Explanation{explanation}, nil
}

// reasonCodes returns a text of the containers and reason codes in explanations, by which followReasons detects
// changes.
func reasonCodes(explanations []api.Explanation) string {
	var codes strings.Builder
	for _, explanation := range explanations {
		for _, reason := range explanation.Reasons {
			codes.WriteString(explanation.Container + string(reason.Code))
		}
	}
	return codes.String()
}

func printReasons(client *apiClient, id string, explanations []api.Explanation) error {
	return client.print(explanations, "CONTAINER\tCODE\tREASON", func(p *printer) {
		for _, explanation := range explanations {
			for _, reason := range explanation.Reasons {
				p.printf("%s\t%s\t%s\n", explanation.Container, reason.Code, reason.Text)
			}
		}
		if len(explanations) == 0 {
			p.printf("%s\t-\tNothing is pending.\n", id)
		}
	})
}
