package eventloop

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
)

// Where the kernel has no signatures SetTCPMD5Key must fail, so that no socket is used unsigned by mistake.
func TestMD5KeyConnectsOnlyPeersWithTheSameKey(t *testing.T) {
	local := netip.MustParseAddr("127.0.0.1")
	l, handler := runLoop(t, func() {}), newProbe()
	var refused error
	ln := call(l, func() *Listener {
		ln, err := l.Listen("127.0.0.1:0", func() (Handler, int) { return handler, 1000 }, nil)
		if err != nil {
			t.Error(err)
			return nil
		}
		refused = SetTCPMD5Key(ln.FD(), local, "secret")
		return ln
	})
	if ln == nil {
		t.FailNow()
	}
	if refused != nil && !errors.Is(refused, ErrMD5Unavailable) {
		t.Errorf("refused by %v", refused)
	}
	for _, tc := range []struct {
		name, key string
		connects  bool
	}{{"the same key", "secret", true}, {"another key", "other", false}, {"no key", "", false}} {
		t.Run(tc.name, func(t *testing.T) {
			dialer := newProbe()
			l.Post(func() {
				l.DialWithControl(ln.Addr().String(), dialer, 1000, 300*Millisecond, func(fd int) error {
					if tc.key == "" {
						return nil
					}
					return SetTCPMD5Key(fd, local, tc.key)
				})
			})
			if refused != nil && tc.key != "" {
				if reason := wait(t, dialer.closed); !errors.Is(reason, ErrConnectFailed) {
					t.Errorf("closed by %v", reason)
				}
				t.Skipf("not offered here: %v", refused)
			}
			if refused != nil {
				t.Skip("not offered here")
			}
			if tc.connects {
				wait(t, dialer.opened)
			} else if reason := wait(t, dialer.closed); !errors.Is(reason, ErrConnectFailed) {
				t.Errorf("closed by %v", reason)
			}
		})
	}
}

func TestMD5KeyOfInvalidLengthIsRefused(t *testing.T) {
	local := netip.MustParseAddr("127.0.0.1")
	for _, key := range []string{"", strings.Repeat("k", maxMD5KeyLength+1)} {
		if err := SetTCPMD5Key(0, local, key); !errors.Is(err, ErrMD5KeyLength) || errors.Is(err, ErrMD5Unavailable) {
			t.Errorf("a key of %d bytes gives %v", len(key), err)
		}
	}
}
