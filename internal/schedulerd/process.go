package schedulerd

import (
	"context"
	"log/slog"

	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// maxReusableBuffer is the capacity in bytes above which an encode buffer is not reused.
const maxReusableBuffer = 1 << 20

// process holds the state that all parts of a server share.
type process struct {
	config       *config.Scheduler
	incarnation  uint64 // creation time in microseconds since 1970
	log          *slog.Logger
	loop         *eventloop.Loop
	stats        stats
	encodeBuffer []byte
}

// now returns the time of this iteration in the unit of the decision packages.
func (p *process) now() scheduler.Time { return scheduler.Time(p.loop.Now()) }

// encode returns the encoded frame, which is valid until the next call.
func (p *process) encode(f protocol.Frame) ([]byte, error) {
	encoded, err := protocol.Append(p.encodeBuffer[:0], f)
	p.encodeBuffer = encoded
	if cap(encoded) > maxReusableBuffer {
		p.encodeBuffer = nil
	}
	return encoded, err
}

func (p *process) hello() *protocol.Hello {
	return protocol.NewHello(protocol.RoleScheduler, p.config.Name, p.incarnation)
}

// classNames returns the names of the workload classes, then of the tenants, in the order of the configuration.
func (p *process) classNames() []string {
	names := append([]string{}, p.config.WorkloadClasses...)
	return append(names, p.config.Tenants...)
}

func (p *process) idempotency(class int) scheduler.Idempotency {
	return p.config.Policy.WorkloadClasses[class].Idempotency
}

func (p *process) logConnectionClosed(peer string, cause error) {
	p.log.Warn("connection closed", "peer", peer, "error", cause)
}

// logDecision writes a log line that a decision package has requested.
func (p *process) logDecision(message string, attributes []slog.Attr) {
	p.log.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}

// checkTransition logs an illegal transition, and reports whether the transition was legal.
func (p *process) checkTransition(err error) bool {
	if err != nil {
		p.log.Error("illegal state transition", "error", err)
	}
	return err == nil
}
