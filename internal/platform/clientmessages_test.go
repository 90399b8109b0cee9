package platform

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

func testConfig(t *testing.T) *Config {
	t.Helper()
	config, err := parseConfig([]byte(configJSON(closedAddr, 256)))
	testutil.NoError(t, err)
	return config
}

func decodeLine(t *testing.T, line string) *jsonlines.Message {
	t.Helper()
	msg, err := jsonlines.Decode([]byte(line))
	testutil.NoError(t, err)
	return msg
}

func TestClientMessagesAreTyped(t *testing.T) {
	for _, tc := range []struct {
		line string
		want clientMessage
	}{
		{endLine(requestID, 31), endRequested{requestID, causeCancelled}},
		{`{"op":"end","call":"` + requestID + `","with":{}}`, endRequested{requestID, -1}},
		{endedLine(requestID), endAcknowledged{requestID}},
		{testLine(7), livenessTest{"0000000000000007"}},
		{acceptLine(requestID), nil}, // clients do not send it
	} {
		got := decodeClientMessage(decodeLine(t, tc.line))
		testutil.Expect(t, reflect.DeepEqual(got, tc.want), "%s is %+v, want %+v", tc.line, got, tc.want)
	}
}

func TestOfferIsDecoded(t *testing.T) {
	const now = 5 * eventloop.Second
	request := scheduler.PlacementRequest{
		ID: requestID, IdempotencyKey: "k" + requestID, Service: "s1", WorkloadClass: 1, Tenant: 1,
		Cores: 1, Memory: 2, Deadline: scheduler.Time(now) + 2*scheduler.Second,
	}
	running := request
	running.Cores, running.Memory, running.Deadline = 0, 0, scheduler.Time(now)
	retried := request
	retried.ClientRetry = true
	withoutTenant := request
	withoutTenant.Tenant = 0
	key := `"tenant":"offices","key":"k` + requestID + `","idem":"i1","extras":"`
	for _, tc := range []struct {
		name, old, with string
		want            scheduler.PlacementRequest
		runsOn          scheduler.MachineID
	}{
		{"to be placed", "", "", request, ""},
		{"retried", `"idem":"i1"`, `"idem":"i1","retry":"1"`, retried, ""},
		{"again after a loss", ";service:s1", ";service:s1;again:1", retried, ""},
		{"without a tenant", `"tenant":"offices",`, "", withoutTenant, ""},
		{"running, without amounts", `"left":"2000",` + key + `cores:1;memory:2;`, key + `at:a;`, running, "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			msg := decodeLine(t, strings.Replace(offerLine(requestID, ""), tc.old, tc.with, 1))
			received, ok := decodeClientMessage(msg).(offerReceived)
			testutil.Require(t, ok, "%+v is no offer", msg)
			offer, err := testConfig(t).decodeOffer(received, now)
			want := placementOffer{tc.want, tc.runsOn, "report-run", "i1", []byte(`"v=0\r\n"`)}
			testutil.Expect(t, err == nil && reflect.DeepEqual(offer, want),
				"decoded %+v, %v, want %+v", offer, err, want)
		})
	}
}

// The error of a request names the field. The machine of a claimed container is returned if it could be read.
func TestInvalidOfferNamesItsField(t *testing.T) {
	for _, tc := range []struct {
		name, old, with, field string
		runsOn                 scheduler.MachineID
	}{
		{"unknown class", "report-run", "other", "class", "a"},
		{"unknown tenant", "offices", "nobody", "tenant", "a"},
		{"too long", `"2000"`, `"1e99"`, "left", "a"},
		{"negative cores", "cores:1", "cores:-1", "extras cores", "a"},
		{"memory without a number", "memory:2", "memory:x", "extras memory", "a"},
		{"extra without a value", "cores:1", "cores", "extras", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			msg := decodeLine(t, strings.Replace(offerLine(requestID, ";at:a"), tc.old, tc.with, 1))
			offer, err := testConfig(t).decodeOffer(offerReceived{msg.RequestID, msg.Fields, msg.Description}, 0)
			var invalid *invalidFieldError
			testutil.Expect(t, errors.As(err, &invalid) && invalid.field == tc.field && offer.runsOn == tc.runsOn,
				"error %v, machine %q", err, offer.runsOn)
		})
	}
	noService := decodeLine(t, strings.Replace(offerLine(requestID, ""), "service:s1", "x:y", 1))
	_, err := testConfig(t).decodeOffer(offerReceived{noService.RequestID, noService.Fields, noService.Description}, 0)
	testutil.Expect(t, errors.Is(err, errNoKeyOrService), "error %v", err)
}
