package simnet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/testutil"

	"golang.org/x/sys/unix"
)

var (
	loopAddr = netip.MustParseAddrPort("10.0.0.1:1")
	peerAddr = netip.MustParseAddrPort("10.0.0.2:2")
)

// recorder writes the events of a connection to a transcript.
type recorder struct {
	name    string
	network *Network
	out     *bytes.Buffer
	onRead  func(text string)
}

func (r *recorder) record(format string, args ...any) {
	fmt.Fprintf(r.out, "%v %s ", r.network.Now(), r.name)
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *recorder) received(text string) {
	r.record("received %q", text)
	if r.onRead != nil {
		r.onRead(text)
	}
}

// peerRecorder and loopRecorder implement the handler of a peer and the handler of the loop.
type (
	peerRecorder struct{ *recorder }
	loopRecorder struct{ *recorder }
)

func (r peerRecorder) Connected(*PeerConn)                { r.record("connected") }
func (r peerRecorder) Received(_ *PeerConn, chunk Chunk)  { r.received(string(chunk.Data)) }
func (r peerRecorder) Ended(_ *PeerConn, reason error)    { r.record("ended: %v", reason) }
func (r loopRecorder) Opened(*eventloop.Conn)             { r.record("opened") }
func (r loopRecorder) Read(_ *eventloop.Conn, p []byte)   { r.received(string(p)) }
func (r loopRecorder) Closed(_ *eventloop.Conn, by error) { r.record("closed: %v", by) }

// simulation is an event loop on a network, with a listener whose connections echo the bytes that they read.
type simulation struct {
	*testing.T
	network *Network
	kernel  *Kernel
	loop    *eventloop.Loop
	out     bytes.Buffer
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := &simulation{T: t, network: New(seed)}
	s.kernel = s.network.NewKernel()
	var err error
	s.loop, err = eventloop.NewOn(s.kernel, func() {})
	testutil.NoError(t, err)
	_, err = s.loop.Listen(loopAddr.String(), func() (eventloop.Handler, int) {
		return &echo{s.recorder("loop")}, 1 << 20
	}, func(error) { s.recorder("listener").record("changed") })
	testutil.NoError(t, err)
	return s
}

func (s *simulation) recorder(name string) *recorder {
	return &recorder{name: name, network: s.network, out: &s.out}
}

// run runs the loop for a span of simulated time, checks that no descriptor is left open, and returns the transcript.
func (s *simulation) run(span time.Duration) string {
	s.Helper()
	s.network.After(span, s.loop.Stop)
	testutil.ExpectNoError(s, s.loop.Run())
	s.network.RunFor(time.Second)
	testutil.Equal(s, s.kernel.OpenDescriptors(), 0, "open descriptors")
	return s.out.String()
}

func (s *simulation) expect(transcript string, wanted ...string) {
	s.Helper()
	for _, text := range wanted {
		testutil.Expect(s, strings.Contains(transcript, text), "%q is missing in\n%s", text, transcript)
	}
}

type echo struct{ *recorder }

func (e *echo) Opened(*eventloop.Conn)                 { e.record("opened") }
func (e *echo) Read(c *eventloop.Conn, p []byte)       { _ = c.Write(p) } // the peer checks for lost bytes
func (e *echo) Closed(_ *eventloop.Conn, reason error) { e.record("closed: %v", reason) }

// All bytes are echoed in order, whatever the splits and the buffer sizes, and equal seeds give equal runs.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	play := func(seed uint64) (transcript, received string) {
		s := newSimulation(t, seed)
		for i := range 5 {
			peer := s.recorder(fmt.Sprint("peer ", i))
			peer.onRead = func(text string) {
				if i == 0 {
					received += text
				}
			}
			conn := s.network.Dial(loopAddr, peerRecorder{peer})
			for j := range 100 {
				s.network.After(time.Duration(j)*time.Millisecond, func() {
					conn.Write([]byte(strings.Repeat(string(rune('a'+j%26)), j)), nil)
				})
			}
			s.network.After(time.Second, conn.CloseWrite)
		}
		return s.run(2 * time.Second), received
	}
	var sent strings.Builder
	for j := range 100 {
		sent.WriteString(strings.Repeat(string(rune('a'+j%26)), j))
	}
	for seed := range uint64(20) {
		first, received := play(seed)
		again, _ := play(seed)
		testutil.Expect(t, first == again, "seed %d: two runs differ", seed)
		testutil.Expect(t, received == sent.String(), "seed %d: received %q", seed, received)
	}
}

// Connection attempts are refused, never answered, answered late or accepted, as the endpoint specifies.
func TestEndpointAnswersConnectionAttempts(t *testing.T) {
	for _, tc := range []struct {
		name     string
		endpoint *Endpoint
		want     string
	}{
		{"nobody listens", nil, "loop closed: connect failed: connection refused"},
		{"refuses", &Endpoint{Refuse: true}, "loop closed: connect failed: connection refused"},
		{"silent", &Endpoint{Silent: true}, "no answer within 100 ms"},
		{"late", &Endpoint{Delay: time.Second}, "no answer within 100 ms"},
		{"accepts", &Endpoint{}, "loop opened"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSimulation(t, 1)
			if tc.endpoint != nil {
				tc.endpoint.Accept = func() PeerHandler { return peerRecorder{s.recorder("peer")} }
				s.network.Listen(peerAddr, tc.endpoint)
			}
			s.loop.Dial(peerAddr.String(), loopRecorder{s.recorder("loop")}, 100, 100*eventloop.Millisecond)
			s.expect(s.run(3*time.Second), tc.want)
		})
	}
}

// A reset and the end of a stream arrive after the bytes that were sent before them.
func TestEndArrivesAfterSentBytes(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(*PeerConn)
		want string
	}{
		{"reset", (*PeerConn).Reset, "loop closed: connection reset: connection reset by peer"},
		{"end", (*PeerConn).CloseWrite, "loop closed: EOF"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSimulation(t, 1)
			peer := s.recorder("peer")
			conn := s.network.Dial(loopAddr, peerRecorder{peer})
			read := false
			conn.Write([]byte("abc"), func() { read = true })
			tc.end(conn)
			s.expect(s.run(time.Second), "loop opened", tc.want)
			testutil.Expect(t, read && conn.WasAccepted() && conn.Unread() == 0, "the bytes were not read")
		})
	}
}

// A connection beyond the descriptor limit is closed at once, and open connections are still served.
func TestDescriptorLimitRefusesConnections(t *testing.T) {
	s := newSimulation(t, 1)
	first, second := s.recorder("first"), s.recorder("second")
	conn := s.network.Dial(loopAddr, peerRecorder{first})
	s.network.After(time.Second, func() {
		s.kernel.Limit = s.kernel.OpenDescriptors()
		s.network.Dial(loopAddr, peerRecorder{second})
	})
	s.network.After(2*time.Second, func() { conn.Write([]byte("abc"), nil) })
	transcript := s.run(3 * time.Second)
	s.expect(transcript, "listener changed", "second ended: EOF")
	testutil.Expect(t, strings.Count(transcript, "first received") > 0, "not served:\n%s", transcript)
}

// While a peer does not read, the process cannot write more than fits in the buffer. Once the peer reads again, it
// receives all bytes.
func TestUnreadBytesBlockFurtherWrites(t *testing.T) {
	s := newSimulation(t, 1)
	var received strings.Builder
	peer := s.recorder("peer")
	peer.onRead = func(text string) { received.WriteString(text) }
	conn := s.network.Dial(loopAddr, peerRecorder{peer})
	text := strings.Repeat("0123456789", 20_000)
	conn.PauseReading(time.Second)
	conn.Write([]byte(text), nil)
	s.network.After(500*time.Millisecond, func() {
		testutil.Equal(t, received.Len(), 0, "bytes received while reading was paused")
	})
	s.run(5 * time.Second)
	testutil.Expect(t, received.String() == text, "%d bytes received", received.Len())
}

// A killed process writes nothing more, and its peers receive a reset.
func TestKilledProcessResetsItsPeers(t *testing.T) {
	s := newSimulation(t, 1)
	conn := s.network.Dial(loopAddr, peerRecorder{s.recorder("peer")})
	s.network.After(time.Second, func() {
		conn.Write([]byte("abc"), nil)
		s.kernel.Kill()
	})
	err := s.loop.Run()
	testutil.Expect(t, errors.Is(err, ErrKilled), "ended by %v", err)
	s.network.RunFor(time.Second)
	transcript := s.out.String()
	s.expect(transcript, "peer ended: "+unix.ECONNRESET.Error())
	testutil.Expect(t, !strings.Contains(transcript, "peer received"), "%s", transcript)
	testutil.Expect(t, !errors.Is(err, io.EOF) && s.kernel.OpenDescriptors() == 0, "descriptors are left")
}
