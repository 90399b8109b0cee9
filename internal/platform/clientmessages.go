package platform

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// This file encodes and decodes the messages between clients and this process.

const maxWaitMillis = 600_000 // the longest time that a request may wait for its answer

// clientMessage is a message of a client.
type clientMessage interface{ clientMessage() }

type (
	// offerReceived requests a container, or claims that one is running. decodeOffer reads its fields.
	offerReceived struct {
		id          string
		fields      jsonlines.Fields
		description []byte
	}
	// endRequested cancels an open request, or ends a running container.
	endRequested struct {
		id    scheduler.ContainerID
		cause terminationCause
	}
	// endAcknowledged confirms a notification that a container has ended.
	endAcknowledged struct{ id string }
	// livenessTest asks whether new requests are accepted.
	livenessTest struct{ id string }
)

func (offerReceived) clientMessage()   {}
func (endRequested) clientMessage()    {}
func (endAcknowledged) clientMessage() {}
func (livenessTest) clientMessage()    {}

// decodeClientMessage converts a message of a client to its type. It returns nil for a message that clients do not
// send.
func decodeClientMessage(msg *jsonlines.Message) clientMessage {
	switch msg.Op {
	case jsonlines.OpOffer:
		return offerReceived{id: msg.RequestID, fields: msg.Fields, description: msg.Description}
	case jsonlines.OpEnd:
		return endRequested{id: scheduler.ContainerID(msg.RequestID), cause: terminationCause(msg.CauseOrNone())}
	case jsonlines.OpEnded:
		return endAcknowledged{id: msg.RequestID}
	case jsonlines.OpTest:
		return livenessTest{id: msg.RequestID}
	default:
		return nil
	}
}

// acceptMessage answers a request whose container is running. The machine's description is forwarded byte for byte.
func acceptMessage(id scheduler.ContainerID, description []byte) *jsonlines.Message {
	return &jsonlines.Message{Op: jsonlines.OpAccept, RequestID: string(id), Description: description}
}

func isAccept(msg *jsonlines.Message) bool { return msg.Op == jsonlines.OpAccept }

// rejectMessage answers a request whose container never ran. The client may safely retry, after retryAfter if that is
// above 0.
func rejectMessage(id scheduler.ContainerID, retryAfter scheduler.Time) *jsonlines.Message {
	msg := endMessage(id, jsonlines.CauseNoCapacity)
	if retryAfter > 0 {
		msg.Fields = jsonlines.Fields{"wait": strconv.FormatInt(int64(retryAfter/scheduler.Millisecond), 10)}
	}
	return msg
}

// failMessage answers a request that has failed. The container may have run.
func failMessage(id scheduler.ContainerID) *jsonlines.Message {
	return endMessage(id, jsonlines.CauseTemporaryFailure)
}

// invalidMessage answers an invalid request.
func invalidMessage(id string) *jsonlines.Message {
	return endMessage(scheduler.ContainerID(id), jsonlines.CauseInvalidContents)
}

// terminationMessage notifies a client of the end of a running container.
func terminationMessage(id scheduler.ContainerID, cause terminationCause) *jsonlines.Message {
	return endMessage(id, int(cause))
}

// testResult is the result of a liveness test.
type testResult int

const (
	testFailed testResult = jsonlines.CauseTestFailed
	testPassed testResult = jsonlines.CauseTestPassed
)

// testResultMessage answers a liveness test.
func testResultMessage(id string, result testResult) *jsonlines.Message {
	return &jsonlines.Message{Op: jsonlines.OpTested, RequestID: id, Cause: new(int(result))}
}

// placementOffer is a decoded request for a container, or a decoded claim that one is running.
type placementOffer struct {
	request scheduler.PlacementRequest
	// the machine at which the container is already running; empty for a container to be placed
	runsOn         scheduler.MachineID
	className      string
	idempotencyKey string
	description    []byte
}

// decodeOffer reads the fields of a request. If it returns an error, only runsOn of the result is valid.
func (config *Config) decodeOffer(msg offerReceived, now eventloop.Tick) (placementOffer, error) {
	var offer placementOffer
	extras, err := decodeExtras(msg.fields["extras"])
	if err != nil {
		return offer, err
	}
	offer.runsOn = scheduler.MachineID(extras["at"])
	offer.className, offer.idempotencyKey = msg.fields["class"], msg.fields["idem"]
	offer.description = slices.Clone(msg.description)
	offer.request = scheduler.PlacementRequest{
		ID:             scheduler.ContainerID(msg.id),
		IdempotencyKey: msg.fields["key"],
		Service:        extras["service"],
		ClientRetry:    msg.fields["retry"] == "1" || extras["again"] == "1",
	}
	if err := config.resolveClass(&offer.request, msg.fields); err != nil {
		return offer, err
	}
	if offer.request.IdempotencyKey == "" || offer.request.Service == "" {
		return offer, errNoKeyOrService
	}
	err = decodeAmounts(&offer, msg.fields["left"], extras, now)
	return offer, err
}

var errNoKeyOrService = errors.New("key or extras service is missing")

// decodeExtras reads a list of name:value pairs.
func decodeExtras(text string) (map[string]string, error) {
	extras := map[string]string{}
	if text == "" {
		return extras, nil
	}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(pair, ":")
		if !ok {
			return nil, fieldError("extras", "%q has no value", pair)
		}
		extras[name] = value
	}
	return extras, nil
}

// resolveClass replaces the names of the workload class and the tenant by their indexes.
func (config *Config) resolveClass(request *scheduler.PlacementRequest, fields jsonlines.Fields) error {
	request.WorkloadClass = slices.Index(config.workloadClasses, fields["class"])
	if request.WorkloadClass < 0 {
		return fieldError("class", "%q is not known", fields["class"])
	}
	tenant := fields["tenant"]
	if tenant == "" {
		return nil
	}
	if request.Tenant = slices.Index(config.tenants, tenant); request.Tenant < 0 {
		return fieldError("tenant", "%q is not known", tenant)
	}
	return nil
}

// decodeAmounts reads the resources that a container requests, and its deadline. A claim may omit them.
func decodeAmounts(offer *placementOffer, left string, extras map[string]string, now eventloop.Tick) error {
	maxWait := float64(maxWaitMillis)
	if offer.runsOn != "" {
		maxWait = math.MaxInt32 * 1000 // a running container has no deadline, but the value has to be a valid time
	}
	var waitMillis float64
	for _, amount := range []struct {
		name, text string
		value      *float64
		limit      float64
	}{
		{"extras cores", extras["cores"], &offer.request.Cores, 1e6},
		{"extras memory", extras["memory"], &offer.request.Memory, 1e9},
		{"left", left, &waitMillis, maxWait},
	} {
		if offer.runsOn != "" && amount.text == "" {
			continue
		}
		value, err := strconv.ParseFloat(amount.text, 64)
		if err != nil || math.IsNaN(value) || value < 0 || value > amount.limit {
			return fieldError(amount.name, "%q is not a number from 0 to %g", amount.text, amount.limit)
		}
		*amount.value = value
	}
	offer.request.Deadline = scheduler.Time(now) + scheduler.Time(waitMillis*float64(scheduler.Millisecond))
	return nil
}

// invalidFieldError reports an invalid field of a message or file.
type invalidFieldError struct {
	field string
	err   error
}

func (e *invalidFieldError) Error() string { return e.field + ": " + e.err.Error() }
func (e *invalidFieldError) Unwrap() error { return e.err }

func fieldError(field, format string, values ...any) error {
	return &invalidFieldError{field, fmt.Errorf(format, values...)}
}
