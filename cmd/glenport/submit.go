package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"glenport/internal/protocol"

	"github.com/spf13/cobra"
)

// door is a plain link to a placer's door.
type door struct {
	net.Conn
	placer string
}

func call(addr string, within time.Duration) (*door, error) {
	c, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return nil, err
	}
	d := &door{Conn: c}
	d.SetDeadline(time.Now().Add(within))
	host, _ := os.Hostname()
	if err := d.send(protocol.NewHello(protocol.RoleClient, fmt.Sprintf("%s-%d", host, os.Getpid()), uint64(time.Now().UnixMicro()))); err != nil {
		c.Close()
		return nil, err
	}
	f, err := protocol.ReadFrame(c, protocol.MaxFrame)
	if hello, ok := f.(*protocol.Hello); err == nil && ok && hello.Role == protocol.RoleScheduler {
		d.placer = hello.Name
		return d, nil
	}
	c.Close()
	return nil, fmt.Errorf("%s is no placer's door: %T, %v", addr, f, err)
}

func (d *door) send(f protocol.Frame) error {
	p, err := protocol.Append(nil, f)
	if err == nil {
		_, err = d.Write(p)
	}
	return err
}

func submitCommand() *cobra.Command {
	var addr, key string
	var w protocol.ContainerSpec
	var count int
	var left time.Duration
	var stay bool
	c := &cobra.Command{Use: "submit SERVICE", Short: "Ask a placer for containers of a service", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			w.Service = args[0]
			d, err := call(addr, 5*time.Second)
			if err != nil {
				return err
			}
			defer d.Close()
			d.SetDeadline(time.Time{})
			if !stay {
				d.SetDeadline(time.Now().Add(left + 5*time.Second))
			}
			stem := fmt.Sprintf("%s-%x", w.Service, rand.Uint64()>>16)
			for i := range count {
				w := w
				w.ContainerID = fmt.Sprintf("%s-%d", stem, i)
				w.IdempotencyKey = w.ContainerID
				if key != "" {
					w.IdempotencyKey = key
				}
				if err := d.send(&protocol.Submit{TimeToDeadline: protocol.Duration(left.Microseconds() / 100), Spec: w}); err != nil {
					return err
				}
			}
			return follow(c.OutOrStdout(), d, count, stay)
		}}
	f := c.Flags()
	f.StringVar(&addr, "placer", "127.0.0.1:7400", "the placer's door")
	f.IntVarP(&count, "count", "n", 1, "how many containers")
	f.IntVar(&w.WorkloadClass, "workload", 0, "number of the workload in the placer's file, from 0")
	f.IntVar(&w.Tenant, "customer", 0, "number of the customer, from 0")
	f.Float64Var(&w.Cores, "cores", 1, "cores asked for")
	f.Float64Var(&w.Memory, "memory", 1, "memory asked for, in GiB")
	f.DurationVar(&left, "hard-stop", 6*time.Second, "time to the hard stop")
	f.StringVar(&key, "key", "", "the key by which repeats are known; made up where empty")
	f.BoolVar(&stay, "stay", false, "wait until the containers end")
	return c
}

// follow prints answers and fates until all are in.
func follow(out io.Writer, d *door, count int, stay bool) error {
	fates, bad := 0, false
	for count > 0 || stay && fates > 0 {
		f, err := protocol.ReadFrame(d, protocol.MaxFrame)
		if err != nil {
			return fmt.Errorf("placer %s is gone: %w", d.placer, err)
		}
		switch f := f.(type) {
		case *protocol.PlacementReply:
			count--
			fmt.Fprintf(out, "%s %s", f.ContainerID, f.Verdict)
			if f.Verdict == protocol.VerdictPlaced {
				fates++
				fmt.Fprintf(out, " on %s", f.Machine)
			} else {
				bad = true
			}
			if f.RetryAfter > 0 {
				fmt.Fprintf(out, ", come back in %d ms", f.RetryAfter/10)
			}
			if f.Message != "" {
				fmt.Fprintf(out, ": %s", f.Message)
			}
			fmt.Fprintln(out)
		case *protocol.Termination:
			fates--
			fmt.Fprintf(out, "%s ended on %s: %s, %s\n", f.ContainerID, f.Machine, f.Outcome, f.Reason)
		case *protocol.Goodbye:
			return errors.New("placer " + d.placer + " says: " + f.Message)
		}
	}
	if bad {
		return exitCode(1)
	}
	return nil
}

func statusCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{Use: "status", Short: "Show a placer's account of itself", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			d, err := call(addr, 5*time.Second)
			if err != nil {
				return err
			}
			defer d.Close()
			if err := d.send(&protocol.StatusRequest{}); err != nil {
				return err
			}
			f, err := protocol.ReadFrame(d, protocol.MaxFrame)
			if err != nil {
				return err
			}
			s, ok := f.(*protocol.StatusReply)
			if !ok {
				return fmt.Errorf("placer %s answers with %T", d.placer, f)
			}
			fmt.Fprintf(c.OutOrStdout(), "placer %s\n", s.Name)
			for _, g := range s.Stats {
				fmt.Fprintf(c.OutOrStdout(), "  %-24s %12.6g %s\n", g.Name, g.Value, g.Unit)
			}
			return nil
		}}
	c.Flags().StringVar(&addr, "placer", "127.0.0.1:7400", "the placer's door")
	return c
}
