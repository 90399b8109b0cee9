package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"glenport/internal/controller/api"
	"glenport/internal/controller/server"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"
)

// client speaks to a keeper's API.
type client struct {
	addr, output string
	out          io.Writer
}

func (k *client) flags(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&k.addr, "api", "127.0.0.1:7500", "the keeper's API")
	c.Flags().StringVarP(&k.output, "output", "o", "table", "table, json or yaml")
	run := c.RunE
	c.RunE = func(c *cobra.Command, args []string) error {
		if k.output != "table" && k.output != "json" && k.output != "yaml" {
			return fmt.Errorf("--output %q is none of table, json, yaml", k.output)
		}
		k.out = c.OutOrStdout()
		return run(c, args)
	}
	return c
}

// do sends a request and decodes the answer; a problem becomes an error in its own words.
func (k *client) do(method, path string, in, into any) error {
	var body io.Reader
	if in != nil {
		p, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(p)
	}
	r, err := http.NewRequest(method, "http://"+k.addr+path, body)
	if err != nil {
		return err
	}
	answer, err := (&http.Client{Timeout: 20 * time.Second}).Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode >= 400 {
		var p struct{ Title, Detail string }
		json.Unmarshal(data, &p)
		return fmt.Errorf("%s: %s", p.Title, p.Detail)
	}
	if into == nil || len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, into)
}

// show prints a value as asked for, or as the table that rows fills.
func (k *client) show(v any, head string, rows func(w io.Writer)) error {
	switch k.output {
	case "json":
		p, err := json.MarshalIndent(v, "", "  ")
		fmt.Fprintln(k.out, string(p))
		return err
	case "yaml":
		p, err := json.Marshal(v)
		if err == nil {
			p, err = yaml.JSONToYAML(p)
		}
		k.out.Write(p)
		return err
	}
	w := tabwriter.NewWriter(k.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	return w.Flush()
}

const jobHead = "JOB\tSERVICE\tWORKLOAD\tCOUNT\tCORES\tGIB\tVERSION"

func jobRow(w io.Writer, j server.Job) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%g\t%g\t%d\n", j.ID, j.Service, j.WorkloadClass, j.Count, j.Cores, j.MemoryGiB, j.Version)
}

func (k *client) oneJob(j server.Job) error {
	return k.show(j, jobHead, func(w io.Writer) { jobRow(w, j) })
}

func jobCommand() *cobra.Command {
	job := &cobra.Command{Use: "job", Short: "Run, look at, scale and stop jobs"}
	k := &client{}
	var j server.Job
	var runFor time.Duration
	run := k.flags(&cobra.Command{Use: "run ID", Short: "Keep a job's containers running", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			j.ID, j.RunForMS = args[0], runFor.Milliseconds()
			if j.Service == "" {
				j.Service = j.ID
			}
			var made server.Job
			if err := k.do("POST", "/v1/jobs", j, &made); err != nil {
				return err
			}
			return k.oneJob(made)
		}})
	f := run.Flags()
	f.StringVar(&j.Service, "service", "", "its service; the job's id where empty")
	f.StringVar(&j.WorkloadClass, "workload", "", "name of its workload")
	f.StringVar(&j.Tenant, "customer", "", "name of its customer")
	f.Float64Var(&j.Cores, "cores", 1, "cores of a container")
	f.Float64Var(&j.MemoryGiB, "memory", 1, "memory of a container, in GiB")
	f.IntVarP(&j.Count, "count", "n", 1, "how many containers")
	f.DurationVar(&runFor, "run-for", 0, "how long a container runs; 0: until it is stopped")
	f.BoolVar(&j.RunOnce, "once", false, "do not start again what has finished")
	f.StringToStringVar(&j.Labels, "label", nil, "key=value, more than once")
	run.MarkFlagRequired("workload")

	get := &client{}
	list := get.flags(&cobra.Command{Use: "get [ID]", Short: "Show one job with its containers, or all jobs", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				var all struct{ Items []server.Job }
				if err := get.do("GET", "/v1/jobs?limit=1000", nil, &all); err != nil {
					return err
				}
				return get.show(all.Items, jobHead, func(w io.Writer) {
					for _, j := range all.Items {
						jobRow(w, j)
					}
				})
			}
			var j server.Job
			var all struct{ Items []server.Container }
			if err := get.do("GET", "/v1/jobs/"+args[0], nil, &j); err != nil {
				return err
			}
			if err := get.do("GET", "/v1/containers?limit=1000&field=job="+args[0], nil, &all); err != nil {
				return err
			}
			return get.show(map[string]any{"job": j, "containers": all.Items}, "CONTAINER\tSTATE\tMACHINE\tTRIES\tSTARTS\tLAST",
				func(w io.Writer) {
					for _, c := range all.Items {
						fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", c.ID, c.State, c.Machine, c.Attempts, c.Starts, c.LastStatus)
					}
				})
		}})

	sc := &client{}
	var count int
	scale := sc.flags(&cobra.Command{Use: "scale ID", Short: "Change how many containers a job has", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var j server.Job
			if err := sc.do("GET", "/v1/jobs/"+args[0], nil, &j); err != nil {
				return err
			}
			j.Count, j.Version = count, 0
			if err := sc.do("PUT", "/v1/jobs/"+args[0], j, &j); err != nil {
				return err
			}
			return sc.oneJob(j)
		}})
	scale.Flags().IntVarP(&count, "count", "n", 0, "how many containers")
	scale.MarkFlagRequired("count")

	st := &client{}
	stop := st.flags(&cobra.Command{Use: "stop ID", Short: "End a job and its containers", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return st.do("DELETE", "/v1/jobs/"+args[0], nil, nil) }})
	job.AddCommand(run, list, scale, stop)
	return job
}

func whyCommand() *cobra.Command {
	k := &client{}
	var follow bool
	c := k.flags(&cobra.Command{Use: "why ID", Short: "Tell why a job's containers, or one container, do not run", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			path := "/v1/jobs/" + args[0] + "/why"
			if strings.Contains(args[0], ".") {
				path = "/v1/containers/" + args[0] + "/why"
			}
			for before := ""; ; time.Sleep(500 * time.Millisecond) {
				var one api.Explanation
				var all struct{ Items []api.Explanation }
				var err error
				if strings.Contains(args[0], ".") {
					if err = k.do("GET", path, nil, &one); len(one.Reasons) > 0 {
						all.Items = []api.Explanation{one}
					}
				} else {
					err = k.do("GET", path, nil, &all)
				}
				if err != nil {
					return err
				}
				codes := ""
				for _, x := range all.Items {
					for _, r := range x.Reasons {
						codes += x.Container + string(r.Code)
					}
				}
				if codes != before || !follow {
					before = codes
					if follow {
						fmt.Fprintln(k.out, time.Now().Format("15:04:05.0"))
					}
					if err := k.show(all.Items, "CONTAINER\tCODE\tREASON", func(w io.Writer) {
						for _, x := range all.Items {
							for _, r := range x.Reasons {
								fmt.Fprintf(w, "%s\t%s\t%s\n", x.Container, r.Code, r.Text)
							}
						}
						if len(all.Items) == 0 {
							fmt.Fprintln(w, args[0]+"\t-\tNothing of it waits.")
						}
					}); err != nil {
						return err
					}
				}
				if !follow {
					return nil
				}
			}
		}})
	c.Flags().BoolVarP(&follow, "follow", "f", false, "tell each time the reasons change")
	return c
}

func machinesCommand() *cobra.Command {
	k := &client{}
	return k.flags(&cobra.Command{Use: "machines", Short: "Show the machines", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var all struct{ Items []server.Machine }
			if err := k.do("GET", "/v1/machines?limit=1000", nil, &all); err != nil {
				return err
			}
			return k.show(all.Items, "MACHINE\tHALL\tKIND\tSTATE\tFREE CORES\tFREE GIB", func(w io.Writer) {
				for _, m := range all.Items {
					fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%g\t%g\n", m.ID, m.Zone, m.MachineType, m.State, m.FreeCores, m.FreeMemoryGiB)
				}
			})
		}})
}
