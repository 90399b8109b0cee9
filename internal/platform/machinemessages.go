package platform

import (
	"fmt"
	"strconv"
	"strings"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// This file encodes and decodes the messages between machines and this process.

// machineMessage is a message of a machine.
type machineMessage interface{ machineMessage() }

type (
	// offerAccepted reports that a container is running.
	offerAccepted struct {
		id          scheduler.ContainerID
		description []byte
	}
	// containerEnded rejects an offer, or reports the end of a container.
	containerEnded struct {
		id     scheduler.ContainerID
		cause  terminationCause
		reason scheduler.Reason
		report scheduler.LoadReport
	}
	// usageReported is one measurement of the usage of a container.
	usageReported struct {
		id     scheduler.ContainerID
		metric scheduler.UsageMetric
		value  float64
	}
	// probeAnswered is the answer to a probe.
	probeAnswered struct {
		id     string
		passed bool
		report scheduler.LoadReport
	}
)

func (offerAccepted) machineMessage()  {}
func (containerEnded) machineMessage() {}
func (usageReported) machineMessage()  {}
func (probeAnswered) machineMessage()  {}

var rejectReasons = map[string]scheduler.Reason{
	"cpu_full":   scheduler.ReasonNoCores,
	"mem_full":   scheduler.ReasonNoMemory,
	"busy":       scheduler.ReasonQueueTooLong,
	"wrong_host": scheduler.ReasonWrongMachine,
	"oom":        scheduler.ReasonOutOfMemory,
	"preempted":  scheduler.ReasonPreempted,
	"drained":    scheduler.ReasonDrained,
}

var usageMetrics = map[string]scheduler.UsageMetric{
	"up":    scheduler.MetricRunning,
	"cpu":   scheduler.MetricCoresUsed,
	"mem":   scheduler.MetricMemoryUsed,
	"share": scheduler.MetricServedShare,
	"tight": scheduler.MetricMachineMemory,
}

// decodeMachineMessage converts a message of a machine to its type. It returns nil for a message that is ignored.
func decodeMachineMessage(msg *jsonlines.Message) machineMessage {
	id := scheduler.ContainerID(msg.RequestID)
	switch msg.Op {
	case jsonlines.OpAccept:
		return offerAccepted{id: id, description: msg.Description}
	case jsonlines.OpEnd:
		return containerEnded{
			id:     id,
			cause:  terminationCause(msg.CauseOrNone()),
			reason: rejectReasons[msg.Fields["note"]],
			report: decodeLoadReport(msg.Fields["load"]),
		}
	case jsonlines.OpInfo:
		metric, known := usageMetrics[msg.Fields["note"]]
		value, err := strconv.ParseFloat(msg.Fields["value"], 64)
		if !known || err != nil {
			return nil // measurements of other kinds are ignored
		}
		return usageReported{id: id, metric: metric, value: value}
	case jsonlines.OpTested:
		return probeAnswered{
			id:     msg.RequestID,
			passed: msg.CauseOrNone() == jsonlines.CauseTestPassed,
			report: decodeLoadReport(msg.Fields["load"]),
		}
	default:
		return nil
	}
}

// decodeLoadReport reads a list of name:value pairs. Pairs whose value is not a number are skipped.
func decodeLoadReport(text string) scheduler.LoadReport {
	if text == "" {
		return nil
	}
	report := scheduler.LoadReport{}
	for pair := range strings.SplitSeq(text, ";") {
		name, number, _ := strings.Cut(pair, ":")
		if value, err := strconv.ParseFloat(number, 64); err == nil {
			report[name] = value
		}
	}
	return report
}

// offerMessage offers a container to a machine. The time left is sent in whole milliseconds.
func offerMessage(c *container, left eventloop.Tick) *jsonlines.Message {
	fields := jsonlines.Fields{
		"class": c.className,
		"key":   c.request.IdempotencyKey,
		"left":  strconv.FormatInt(int64(left/eventloop.Millisecond), 10),
	}
	if c.idempotencyKey != "" {
		fields["idem"] = c.idempotencyKey
	}
	return &jsonlines.Message{
		Op:          jsonlines.OpOffer,
		RequestID:   string(c.request.ID),
		Fields:      fields,
		Description: c.description,
	}
}

// cancelMessage cancels an offer.
func cancelMessage(id scheduler.ContainerID) *jsonlines.Message {
	return endMessage(id, jsonlines.CauseNormal)
}

// machineTerminationMessage orders the end of a running container. If the client stated no cause, 0 is sent.
func machineTerminationMessage(id scheduler.ContainerID, cause terminationCause) *jsonlines.Message {
	return endMessage(id, int(max(cause, 0)))
}

// probeMessage asks a machine for its load report.
func probeMessage(id string) *jsonlines.Message {
	return &jsonlines.Message{Op: jsonlines.OpTest, RequestID: id, Cause: new(jsonlines.CauseTestPassed)}
}

// probeID formats the identifier of the probe with a number.
func probeID(number uint64) string { return fmt.Sprintf("%016x", number) }
