package main

import (
	"fmt"
	"io"

	"glenport/internal/protocol"

	"github.com/spf13/cobra"
)

func newBGPCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:     "bgp",
		Short:   "Show the addresses that a scheduler announces by BGP",
		Example: "  glenport bgp routes --scheduler 127.0.0.1:7400",
	}
	addSchedulerFlag(c, &address)
	c.AddCommand(
		&cobra.Command{
			Use:     "peers",
			Short:   "Show the BGP sessions",
			Example: "  glenport bgp peers --scheduler 127.0.0.1:7400",
			Args:    cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return withRoutes(c, address, printPeers)
			},
		},
		&cobra.Command{
			Use:     "routes",
			Short:   "Show the service addresses and whether they are announced",
			Example: "  glenport bgp routes --scheduler 127.0.0.1:7400",
			Args:    cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return withRoutes(c, address, printRoutes)
			},
		},
		&cobra.Command{
			Use:     "why SERVICE|PREFIX",
			Short:   "Explain why an address is announced, or is not",
			Example: "  glenport bgp why reports\n  glenport bgp why 198.51.100.7/32",
			Args:    cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return withRoutes(c, address, func(out io.Writer, reply *protocol.RoutesReply) error {
					return printExplanation(out, reply.Services, args[0])
				})
			},
		})
	return c
}

// withRoutes requests BGP sessions and announcements from a scheduler and passes the reply to show.
func withRoutes(c *cobra.Command, address string, show func(out io.Writer, reply *protocol.RoutesReply) error) error {
	reply, err := request[*protocol.RoutesReply](c.Context(), address, &protocol.RoutesRequest{})
	if err != nil {
		return err
	}
	return show(c.OutOrStdout(), reply)
}

func printPeers(out io.Writer, reply *protocol.RoutesReply) error {
	return printTable(out, "PEER\tASN\tSTATE\tROUTES\tPENDING\tUPDATES\tBYTES\tENDED\tLAST ERROR", func(p *printer) {
		for _, peer := range reply.Peers {
			p.printf("%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", peer.Address, peer.ASN, peer.State, peer.Routes,
				peer.PendingRoutes, peer.UpdatesSent, peer.BytesSent, peer.SessionsEnded, peer.LastError)
		}
	})
}

func printRoutes(out io.Writer, reply *protocol.RoutesReply) error {
	return printTable(out, "SERVICE\tPREFIX\tANNOUNCED\tRUNNING\tDRAINING", func(p *printer) {
		for _, s := range reply.Services {
			p.printf("%s\t%s\t%t\t%d\t%d\n", s.Service, s.Prefix, s.Announced, s.Running, s.Draining)
		}
	})
}

// printExplanation explains the first announcement that matches the subject: a service name, a prefix or an address.
func printExplanation(out io.Writer, services []protocol.ServiceRoute, subject string) error {
	for _, s := range services {
		if s.Service == subject || s.Prefix == subject || s.Prefix == subject+"/32" || s.Prefix == subject+"/128" {
			_, err := fmt.Fprintln(out, explainRoute(&s))
			return err
		}
	}
	return fmt.Errorf("no service of this scheduler has the name or address %s", subject)
}

func explainRoute(s *protocol.ServiceRoute) string {
	text := fmt.Sprintf("%s of service %s is %s", s.Prefix, s.Service, announcementReason(s))
	if s.NextChangeIn <= 0 {
		return text
	}
	const format = "%s The next change is due in %d ms, by the limit on the update rate."
	return fmt.Sprintf(format, text, milliseconds(s.NextChangeIn))
}

func announcementReason(s *protocol.ServiceRoute) string {
	switch {
	case s.Announced && s.Running > 0 && s.Draining == s.Running:
		const format = "announced with the lowest preference: all %d containers here run on draining machines."
		return fmt.Sprintf(format, s.Running)
	case s.Announced:
		return fmt.Sprintf("announced: %d containers run here, the minimum is %d.", s.Running, s.MinRunning)
	case s.Suppressed:
		const format = "not announced: it is suppressed after flapping (penalty %.0f) until it is stable."
		return fmt.Sprintf(format, s.Penalty)
	default:
		return fmt.Sprintf("not announced: %d containers run here, the minimum is %d.", s.Running, s.MinRunning)
	}
}
