package schedulerd

import (
	"context"
	"log/slog"

	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// maxReusableBuffer is the size from which on an encode buffer is not used again.
const maxReusableBuffer = 1 << 20

// process is what all parts of a server share.
type process struct {
	config       *config.Scheduler
	incarnation  uint64 // microseconds since 1970 when it was made
	log          *slog.Logger
	loop         *eventloop.Loop
	stats        stats
	encodeBuffer []byte
}

// now is the time of this iteration as the decisions count it.
func (p *process) now() scheduler.Time { return scheduler.Time(p.loop.Now()) }

// encode returns the bytes of a frame. They are valid until the next call.
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

// classNames are the workload classes, then the tenants, in the order of the configuration.
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

// logDecision logs what a decision package wants the operator to know.
func (p *process) logDecision(message string, attributes []slog.Attr) {
	p.log.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}

// checkTransition reports whether a transition was legal, and logs one that was not.
func (p *process) checkTransition(err error) bool {
	if err != nil {
		p.log.Error("illegal state transition", "error", err)
	}
	return err == nil
}
