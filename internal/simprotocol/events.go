package simprotocol

import (
	"strconv"

	"glenport/scheduler"
)

// retryFlag is the bit in the flags of a request that marks a retry by the client.
const retryFlag = 16

var outcomes = map[string]scheduler.Outcome{
	"GOOD":   scheduler.OutcomeFinished,
	"BAD":    scheduler.OutcomeErrored,
	"FULL":   scheduler.OutcomeFull,
	"LATE":   scheduler.OutcomeTimedOut,
	"NOCONN": scheduler.OutcomeConnectFailed,
	"RST":    scheduler.OutcomeLost,
	"CXL":    scheduler.OutcomeStopped,
	"NOP":    scheduler.OutcomeNotSent,
}

// eventDecoders holds, by message name, the functions that decode the fields after the instance.
var eventDecoders = map[string]func(*fieldReader) scheduler.Event{
	"PENDING":        decodeRequestReceived,
	"ALREADY_PLACED": decodeContainerAdopted,
	"CONFIRMED":      decodeAttemptAccepted,
	"INTERIM":        decodeUsageReported,
	"DONE":           decodeAttemptEnded,
	"HEALTH_RESULT":  decodeProbeCompleted,
	"TICK_DUE":       decodeTimerFired,
	"VANISHED":       decodeContainerRemoved,
}

// decodeConfigure decodes the message that starts an instance: a seed, followed by settings up to the end of the line.
func decodeConfigure(f *fieldReader) (*scheduler.Config, error) {
	seed, err := strconv.ParseUint(f.text(), 10, 64)
	if err != nil {
		return nil, ErrInvalidSeed
	}
	config, err := ParseSettings(seed, f.takeRemaining())
	if err != nil {
		return nil, err
	}
	return &config, nil
}

func decodeRequestReceived(f *fieldReader) scheduler.Event {
	return scheduler.RequestReceived{PlacementRequest: scheduler.PlacementRequest{
		ID:              f.containerID(),
		Tenant:          f.wholeNumberOrZero(),
		ClientRetry:     f.retryFlag(),
		IdempotencyKey:  f.text(),
		WorkloadClass:   f.wholeNumber(),
		Memory:          f.numberOrZero(),
		Cores:           f.numberOrZero(),
		Deadline:        f.time(),
		Service:         f.text(),
		ExpectedRuntime: f.timeOrZero(),
	}}
}

func decodeContainerAdopted(f *fieldReader) scheduler.Event {
	request := scheduler.PlacementRequest{
		ID:              f.containerID(),
		Service:         f.text(),
		Deadline:        f.timeOrZero(),
		WorkloadClass:   f.wholeNumber(),
		Cores:           f.numberOrZero(),
		IdempotencyKey:  f.text(),
		Tenant:          f.wholeNumberOrZero(),
		Memory:          f.numberOrZero(),
		ClientRetry:     f.retryFlag(),
		ExpectedRuntime: f.timeOrZero(),
	}
	return scheduler.ContainerAdopted{PlacementRequest: request, Machine: f.machineID()}
}

func decodeAttemptAccepted(f *fieldReader) scheduler.Event {
	return scheduler.AttemptAccepted{
		ID:      f.containerID(),
		Attempt: f.wholeNumber(),
		Machine: f.machineID(),
		Elapsed: f.timeOrZero(),
	}
}

func decodeUsageReported(f *fieldReader) scheduler.Event {
	return scheduler.UsageReported{
		ID:      f.containerID(),
		Machine: f.machineID(),
		Attempt: f.wholeNumber(),
		Metric:  scheduler.UsageMetric(f.wholeNumber()),
		Value:   f.number(),
	}
}

func decodeAttemptEnded(f *fieldReader) scheduler.Event {
	return scheduler.AttemptEnded{
		ID:      f.containerID(),
		Final:   f.boolean(),
		Attempt: f.wholeNumber(),
		Outcome: enumValue(f, outcomes),
		Machine: f.machineID(),
		Reason:  scheduler.Reason(f.wholeNumberOrZero()),
		Elapsed: f.timeOrZero(),
		Report:  f.loadReport(),
	}
}

func decodeProbeCompleted(f *fieldReader) scheduler.Event {
	return scheduler.ProbeCompleted{
		Machine: f.machineID(),
		Outcome: enumValue(f, outcomes),
		Elapsed: f.timeOrZero(),
		Report:  f.loadReport(),
	}
}

func decodeTimerFired(f *fieldReader) scheduler.Event { return scheduler.TimerFired{Name: f.text()} }

func decodeContainerRemoved(f *fieldReader) scheduler.Event {
	return scheduler.ContainerRemoved{ID: f.containerID()}
}
