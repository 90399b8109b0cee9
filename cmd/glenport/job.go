package main

import (
	"context"
	"net/http"
	"time"

	"glenport/internal/controller/server"

	"github.com/spf13/cobra"
)

const (
	jobsPath       = "/v1/jobs"
	containersPath = "/v1/containers"
)

const (
	jobHeader       = "JOB\tSERVICE\tWORKLOAD\tCOUNT\tCORES\tGIB\tVERSION"
	containerHeader = "CONTAINER\tSTATE\tMACHINE\tATTEMPTS\tSTARTS\tLAST"
)

func newJobCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "job",
		Short:   "Run, show, scale and stop jobs",
		Example: "  glenport job run reports --workload report-run -n 3",
	}
	c.AddCommand(newJobRunCommand(), newJobGetCommand(), newJobScaleCommand(), newJobStopCommand())
	return c
}

func newJobRunCommand() *cobra.Command {
	var job server.Job
	var runFor time.Duration
	c := withAPI(&cobra.Command{
		Use:     "run ID",
		Short:   "Keep a job's containers running",
		Example: "  glenport job run reports --workload report-run -n 3 --cores 2 --memory 4 --label team=books",
		Args:    cobra.ExactArgs(1),
	}, func(ctx context.Context, client *apiClient, args []string) error {
		job.ID, job.RunForMS = args[0], runFor.Milliseconds()
		if job.Service == "" {
			job.Service = job.ID
		}
		var created server.Job
		if err := client.do(ctx, http.MethodPost, jobsPath, job, &created); err != nil {
			return err
		}
		return printJob(client, &created)
	})
	f := c.Flags()
	f.StringVar(&job.Service, "service", "", "name of the service; empty: the job's ID")
	f.StringVar(&job.WorkloadClass, "workload", "", "name of the workload class")
	f.StringVar(&job.Tenant, "tenant", "", "name of the tenant")
	addFormerFlag(c, "customer", "tenant")
	f.Float64Var(&job.Cores, "cores", 1, "cores of a container")
	f.Float64Var(&job.MemoryGiB, "memory", 1, "memory of a container, in GiB")
	f.IntVarP(&job.Count, "count", "n", 1, "number of containers")
	f.DurationVar(&runFor, "run-for", 0, "run time of a container; 0: unlimited")
	f.BoolVar(&job.RunOnce, "once", false, "do not restart a container that has finished")
	f.StringToStringVar(&job.Labels, "label", nil, "label as key=value; may be repeated")
	requireFlag(c, "workload")
	return c
}

func newJobGetCommand() *cobra.Command {
	return withAPI(&cobra.Command{
		Use:     "get [ID]",
		Short:   "Show one job with its containers, or all jobs",
		Example: "  glenport job get\n  glenport job get reports -o yaml",
		Args:    cobra.MaximumNArgs(1),
	}, func(ctx context.Context, client *apiClient, args []string) error {
		if len(args) == 0 {
			return printJobs(ctx, client)
		}
		return printJobWithContainers(ctx, client, args[0])
	})
}

func newJobScaleCommand() *cobra.Command {
	var count int
	c := withAPI(&cobra.Command{
		Use:     "scale ID",
		Short:   "Change the number of containers of a job",
		Example: "  glenport job scale reports -n 5",
		Args:    cobra.ExactArgs(1),
	}, func(ctx context.Context, client *apiClient, args []string) error {
		path := jobsPath + "/" + args[0]
		var job server.Job
		if err := client.get(ctx, path, &job); err != nil {
			return err
		}
		job.Count, job.Version = count, 0 // the job is replaced whatever its version
		if err := client.do(ctx, http.MethodPut, path, job, &job); err != nil {
			return err
		}
		return printJob(client, &job)
	})
	c.Flags().IntVarP(&count, "count", "n", 0, "number of containers")
	requireFlag(c, "count")
	return c
}

func newJobStopCommand() *cobra.Command {
	return withAPI(&cobra.Command{
		Use:     "stop ID",
		Short:   "Delete a job and end its containers",
		Example: "  glenport job stop reports",
		Args:    cobra.ExactArgs(1),
	}, func(ctx context.Context, client *apiClient, args []string) error {
		return client.do(ctx, http.MethodDelete, jobsPath+"/"+args[0], nil, nil)
	})
}

func printJob(client *apiClient, job *server.Job) error {
	return client.print(job, jobHeader, func(p *printer) { printJobRow(p, job) })
}

func printJobRow(p *printer, job *server.Job) {
	p.printf("%s\t%s\t%s\t%d\t%g\t%g\t%d\n",
		job.ID, job.Service, job.WorkloadClass, job.Count, job.Cores, job.MemoryGiB, job.Version)
}

func printJobs(ctx context.Context, client *apiClient) error {
	var jobs listResponse[server.Job]
	if err := client.get(ctx, jobsPath+listLimit, &jobs); err != nil {
		return err
	}
	return client.print(jobs.Items, jobHeader, func(p *printer) {
		for i := range jobs.Items {
			printJobRow(p, &jobs.Items[i])
		}
	})
}

func printJobWithContainers(ctx context.Context, client *apiClient, id string) error {
	var job server.Job
	if err := client.get(ctx, jobsPath+"/"+id, &job); err != nil {
		return err
	}
	var containers listResponse[server.Container]
	if err := client.get(ctx, containersPath+listLimit+"&field=job="+id, &containers); err != nil {
		return err
	}
	document := struct {
		Containers []server.Container `json:"containers"`
		Job        server.Job         `json:"job"`
	}{containers.Items, job}
	return client.print(document, containerHeader, func(p *printer) {
		for _, c := range containers.Items {
			p.printf("%s\t%s\t%s\t%d\t%d\t%s\n", c.ID, c.State, c.Machine, c.Attempts, c.Starts, c.LastStatus)
		}
	})
}
