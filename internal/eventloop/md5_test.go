package eventloop

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// listenWithMD5Key opens a listener with a key for its peers. It returns the error of SetTCPMD5Key as refused.
func listenWithMD5Key(t *testing.T, l *Loop, handler Handler, key string) (addr string, refused error) {
	t.Helper()
	ln := callOnLoop(l, func() *Listener {
		ln, err := l.Listen("127.0.0.1:0", func() (Handler, int) { return handler, 1000 }, nil)
		if err != nil {
			t.Error(err)
			return nil
		}
		refused = SetTCPMD5Key(ln.FD(), loopback, key)
		return ln
	})
	if ln == nil {
		t.FailNow()
	}
	testutil.Expect(t, refused == nil || errors.Is(refused, ErrMD5Unavailable), "refused by %v", refused)
	return ln.Addr().String(), refused
}

// dialWithMD5Key dials with a key, or without one if key is empty.
func dialWithMD5Key(l *Loop, addr, key string) *probe {
	dialer := newProbe()
	l.Post(func() {
		l.DialWithControl(addr, dialer, 1000, 300*Millisecond, func(fd int) error {
			if key == "" {
				return nil
			}
			return SetTCPMD5Key(fd, loopback, key)
		})
	})
	return dialer
}

func expectConnectFailure(t *testing.T, dialer *probe) {
	t.Helper()
	reason := testutil.Receive(t, dialer.closed)
	testutil.Expect(t, errors.Is(reason, ErrConnectFailed), "closed by %v", reason)
}

// Without kernel support for signatures SetTCPMD5Key must fail, so that no socket is used unsigned by mistake.
func TestMD5KeyConnectsOnlyPeersWithTheSameKey(t *testing.T) {
	l, handler := runLoop(t, func() {}), newProbe()
	addr, refused := listenWithMD5Key(t, l, handler, "secret")
	for _, tc := range []struct {
		name, key string
		connects  bool
	}{{"the same key", "secret", true}, {"another key", "other", false}, {"no key", "", false}} {
		t.Run(tc.name, func(t *testing.T) {
			dialer := dialWithMD5Key(l, addr, tc.key)
			if refused != nil && tc.key != "" {
				expectConnectFailure(t, dialer)
			}
			if refused != nil {
				t.Skipf("TCP MD5 signatures are not available on this system: %v", refused)
			}
			if tc.connects {
				testutil.Receive(t, dialer.opened)
			} else {
				expectConnectFailure(t, dialer)
			}
		})
	}
}

func TestMD5KeyOfInvalidLengthIsRefused(t *testing.T) {
	for _, key := range []string{"", strings.Repeat("k", maxMD5KeyLength+1)} {
		err := SetTCPMD5Key(0, loopback, key)
		testutil.Expect(t, errors.Is(err, ErrMD5KeyLength) && !errors.Is(err, ErrMD5Unavailable),
			"a key of %d bytes gives %v", len(key), err)
	}
}
