package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"glenport/internal/protocol"

	"github.com/spf13/cobra"
)

// routes asks a placer how its announcements stand.
func routes(addr, service string) (*protocol.RoutesReply, error) {
	d, err := call(addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if err := d.send(&protocol.RoutesRequest{Service: service}); err != nil {
		return nil, err
	}
	f, err := protocol.ReadFrame(d, protocol.MaxFrame)
	if err != nil {
		return nil, err
	}
	r, ok := f.(*protocol.RoutesReply)
	if !ok {
		return nil, fmt.Errorf("placer %s answers with %T", d.placer, f)
	}
	return r, nil
}

func bgpCommand() *cobra.Command {
	c := &cobra.Command{Use: "bgp", Short: "Look at the addresses that a placer announces"}
	var addr string
	c.PersistentFlags().StringVar(&addr, "placer", "127.0.0.1:7400", "the placer's door")
	show := func(out io.Writer, head string, rows func(w io.Writer)) error {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, head)
		rows(w)
		return w.Flush()
	}
	peers := &cobra.Command{Use: "peers", Short: "Show the sessions", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		r, err := routes(addr, "")
		if err != nil {
			return err
		}
		return show(c.OutOrStdout(), "PEER\tAS\tSTATE\tROUTES\tDUE\tUPDATES\tBYTES\tENDS\tLAST END", func(w io.Writer) {
			for _, p := range r.Peers {
				fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", p.Address, p.ASN, p.State, p.Routes, p.PendingRoutes, p.UpdatesSent, p.BytesSent, p.SessionsEnded, p.LastError)
			}
		})
	}}
	list := &cobra.Command{Use: "routes", Short: "Show the services' addresses", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		r, err := routes(addr, "")
		if err != nil {
			return err
		}
		return show(c.OutOrStdout(), "SERVICE\tPREFIX\tANNOUNCED\tRUNNING\tDRAINING", func(w io.Writer) {
			for _, s := range r.Services {
				fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\n", s.Service, s.Prefix, s.Announced, s.Running, s.Draining)
			}
		})
	}}
	why := &cobra.Command{Use: "why SERVICE|PREFIX", Short: "Tell why an address is announced, or is not", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, err := routes(addr, "")
			if err != nil {
				return err
			}
			for _, s := range r.Services {
				if s.Service == args[0] || s.Prefix == args[0] || s.Prefix == args[0]+"/32" || s.Prefix == args[0]+"/128" {
					fmt.Fprintln(c.OutOrStdout(), explainRoute(s))
					return nil
				}
			}
			return fmt.Errorf("no service of this placer has the name or the address %s", args[0])
		}}
	c.AddCommand(peers, list, why)
	return c
}

func explainRoute(s protocol.ServiceRoute) string {
	text := fmt.Sprintf("%s of service %s is ", s.Prefix, s.Service)
	switch {
	case s.Announced && s.Running > 0 && s.Draining == s.Running:
		text += fmt.Sprintf("announced as the last choice: all of its %d containers here run on machines that drain.", s.Running)
	case s.Announced:
		text += fmt.Sprintf("announced: %d containers run here, %d are wanted at least.", s.Running, s.MinRunning)
	case s.Suppressed:
		text += fmt.Sprintf("not announced: it flapped (penalty %.0f), and is left out until it has been steady.", s.Penalty)
	default:
		text += fmt.Sprintf("not announced: %d containers run here, %d are wanted at least.", s.Running, s.MinRunning)
	}
	if s.NextChangeIn > 0 {
		text += fmt.Sprintf(" A change waits %d ms for its pace.", s.NextChangeIn/10)
	}
	return text
}
