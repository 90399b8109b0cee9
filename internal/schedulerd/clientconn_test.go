package schedulerd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
)

// receiveGoodbye sends bytes to the server one at a time, and returns the reason in its Goodbye.
func receiveGoodbye(t *testing.T, address string, sent []byte, pause time.Duration) string {
	t.Helper()
	c := dial(t, address)
	defer closeIgnoringError(c)
	frames.Skip(c) // the hello
	go func() {
		for i := range sent {
			if _, err := c.Write(sent[i : i+1]); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	f, err := frames.Receive(c)
	if goodbye, ok := f.(*protocol.Goodbye); ok {
		return goodbye.Message
	}
	return fmt.Sprint(f, err)
}

func encodedHello(t *testing.T, role protocol.Role) []byte {
	t.Helper()
	return frames.Encode(t, protocol.NewHello(role, "peer", 1))
}

// The server rejects requests and clients over the limits, garbage and incomplete frames with a reason, and still
// serves other clients.
func TestListenerRejectsInvalidAndExcessInput(t *testing.T) {
	settings := testConfig(t)
	settings.Limits.OpenRequests, settings.Limits.Clients, settings.SilenceTimeout = 2, 2, 5000
	h := startHarness(t, settings, nil, nil)
	for _, id := range []string{"x", "y", "z"} {
		h.client.submit(id, classIdempotent)
	}
	reply := h.client.wantReply(protocol.VerdictNotAdmitted)
	if reply.ContainerID != "z" || !strings.Contains(reply.Message, "2 containers are open") || reply.RetryAfter == 0 {
		t.Errorf("got %+v", reply)
	}
	endless := bytes.Repeat([]byte{0, 0, 0xf0, 0}, 100)
	fromScheduler := func(more ...byte) []byte {
		return append(encodedHello(t, protocol.RoleScheduler), more...)
	}
	for _, tc := range []struct {
		name  string
		sent  []byte
		pause time.Duration
		want  string
	}{
		{"garbage", []byte("GET / HTTP/1.1\r\n\r\n"), 0, "over the limit"},
		{"a machine", encodedHello(t, protocol.RoleMachine), 0, "no business at this door"},
		{"oversize", fromScheduler(0, 0xff, 0, 0), 0, "over the limit of 65536"},
		{"a frame for machines", fromScheduler(0, 0, 0, 3, 7, 0x81, 1), 0, "not for the door"},
		{"one byte at a time, without end", fromScheduler(endless...), 50 * time.Millisecond, "half a frame"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := receiveGoodbye(t, h.server.Addr(), tc.sent, tc.pause)
			testutil.Expect(t, strings.Contains(got, tc.want), "got %q, want %q", got, tc.want)
		})
	}
	dialClient(t, h.server.Addr()) // the second client
	third := receiveGoodbye(t, h.server.Addr(), encodedHello(t, protocol.RoleClient), 0)
	testutil.Expect(t, strings.Contains(third, "2 owners are connected"), "a third client gets %q", third)
	frames.Send(h.client, &protocol.CancelContainer{ContainerID: "x"})
	if reply := h.client.wantReply(protocol.VerdictFailed); reply.ContainerID != "x" {
		t.Errorf("cancelled: %+v", reply)
	}
	frames.Send(h.client, &protocol.StatusRequest{})
	f, ok := h.client.receive().(*protocol.StatusReply)
	testutil.Expect(t, ok && len(f.Stats) >= 20, "status %v", f)
}
