package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"glenport/internal/protocol"

	"github.com/spf13/cobra"
)

const (
	tick = 100 * time.Microsecond // the unit of protocol.Duration

	// answerGrace is how long the command waits for answers after the deadline of the requests.
	answerGrace = 5 * time.Second
)

// submission holds the requests of one call of the submit command.
type submission struct {
	address string
	spec    protocol.ContainerSpec // without the ID and the key, which send sets for each container
	key     string                 // idempotency key of all containers; empty: a new one for each
	count   int
	timeout time.Duration // from now to the deadline of the requests
	wait    bool          // wait until the containers end
}

func newSubmitCommand() *cobra.Command {
	var s submission
	c := &cobra.Command{
		Use:     "submit SERVICE",
		Short:   "Request containers of a service from a scheduler",
		Long:    "Request containers of a service from a scheduler. The exit code is 1 if one of them is not placed.",
		Example: "  glenport submit reports -n 3 --workload 1 --cores 2 --memory 4 --timeout 6s --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s.spec.Service = args[0]
			return s.run(c.Context(), c.OutOrStdout())
		},
	}
	addSchedulerFlag(c, &s.address)
	f := c.Flags()
	f.IntVarP(&s.count, "count", "n", 1, "number of containers")
	f.IntVar(&s.spec.WorkloadClass, "workload", 0, "index of the workload class in the scheduler's settings, from 0")
	f.IntVar(&s.spec.Tenant, "tenant", 0, "index of the tenant, from 0")
	f.Float64Var(&s.spec.Cores, "cores", 1, "cores of each container")
	f.Float64Var(&s.spec.Memory, "memory", 1, "memory of each container, in GiB")
	f.DurationVar(&s.timeout, "timeout", 6*time.Second, "time to the deadline of the requests")
	f.StringVar(&s.key, "key", "", "idempotency key; empty: a new one for each container")
	f.BoolVar(&s.wait, "wait", false, "wait until the containers end")
	addFormerFlag(c, "customer", "tenant")
	addFormerFlag(c, "hard-stop", "timeout")
	addFormerFlag(c, "stay", "wait")
	return c
}

// run sends the requests, prints the answers, and returns errNegativeResult if a container is not placed.
func (s *submission) run(ctx context.Context, out io.Writer) error {
	c, err := dialScheduler(ctx, s.address)
	if err != nil {
		return err
	}
	defer c.close()
	var deadline time.Time // none when waiting for the containers to end
	if !s.wait {
		deadline = time.Now().Add(s.timeout + answerGrace)
	}
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	if err := s.send(c); err != nil {
		return err
	}
	return s.receiveReplies(c, &replyPrinter{printer: &printer{w: out}, unansweredRequests: s.count})
}

func (s *submission) send(c *schedulerConn) error {
	prefix := fmt.Sprintf("%s-%x", s.spec.Service, rand.Uint64()>>16)
	for i := range s.count {
		spec := s.spec
		spec.ContainerID = fmt.Sprintf("%s-%d", prefix, i)
		spec.IdempotencyKey = spec.ContainerID
		if s.key != "" {
			spec.IdempotencyKey = s.key
		}
		request := &protocol.Submit{TimeToDeadline: protocol.Duration(s.timeout / tick), Spec: spec}
		if err := c.send(request); err != nil {
			return err
		}
	}
	return nil
}

// receiveReplies prints replies until all have arrived and, with --wait, terminations until all containers have ended.
func (s *submission) receiveReplies(c *schedulerConn, p *replyPrinter) error {
	for p.unansweredRequests > 0 || s.wait && p.runningContainers > 0 {
		frame, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if err != nil {
			return fmt.Errorf("connection to scheduler %s lost: %w", c.name, err)
		}
		switch f := frame.(type) {
		case *protocol.PlacementReply:
			p.printReply(f)
		case *protocol.Termination:
			p.printTermination(f)
		case *protocol.Goodbye:
			return fmt.Errorf("scheduler %s closed the connection: %s", c.name, f.Message)
		}
		if p.err != nil {
			return p.err
		}
	}
	if p.notPlaced {
		return errNegativeResult
	}
	return nil
}

// replyPrinter prints the replies to a submission and counts the outstanding replies and terminations.
type replyPrinter struct {
	*printer
	unansweredRequests int  // requests without a reply
	runningContainers  int  // containers that were placed and have not ended
	notPlaced          bool // a request was not answered with VerdictPlaced
}

func (p *replyPrinter) printTermination(f *protocol.Termination) {
	p.runningContainers--
	p.printf("%s ended on %s: %s, %s\n", f.ContainerID, f.Machine, f.Outcome, f.Reason)
}

func (p *replyPrinter) printReply(f *protocol.PlacementReply) {
	p.unansweredRequests--
	p.printf("%s %s", f.ContainerID, verdictText(f.Verdict))
	if f.Verdict == protocol.VerdictPlaced {
		p.runningContainers++
		p.printf(" on %s", f.Machine)
	} else {
		p.notPlaced = true
	}
	if f.RetryAfter > 0 {
		p.printf(", retry after %d ms", milliseconds(f.RetryAfter))
	}
	if f.Message != "" {
		p.printf(": %s", f.Message)
	}
	p.printf("\n")
}

// verdictText returns the current name of a verdict. [protocol.Verdict.String] returns the older name.
func verdictText(v protocol.Verdict) string {
	switch v {
	case protocol.VerdictRejected:
		return "rejected"
	case protocol.VerdictFailed:
		return "failed"
	case protocol.VerdictNotAdmitted:
		return "not admitted"
	default:
		return v.String()
	}
}

// milliseconds returns a duration of the protocol in whole milliseconds.
func milliseconds(d protocol.Duration) int64 { return int64(d) / int64(time.Millisecond/tick) }
