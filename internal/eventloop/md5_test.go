package eventloop

import (
	"errors"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// With the same key on both ends a connection stands; with another, or none, it does not. Where the kernel does not
// offer it that must be said, and the socket is not used unsigned.
func TestSignTCP(t *testing.T) {
	local := netip.MustParseAddr("127.0.0.1")
	l, h := run(t, func() {}), newProbe()
	var refused error
	s := on(l, func() *Listener {
		s, err := l.Listen("127.0.0.1:0", func() (Handler, int) { return h, 1000 }, nil)
		if err != nil {
			t.Fatal(err)
		}
		refused = SetTCPMD5Key(s.FD(), local, "secret")
		return s
	})
	for _, tc := range []struct {
		name, key string
		stands    bool
	}{{"the same key", "secret", true}, {"another key", "other", false}, {"no key", "", false}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newProbe()
			l.Post(func() {
				l.DialWithControl(s.Addr().String(), c, 1000, 300*Millisecond, func(fd int) error {
					if tc.key == "" {
						return nil
					}
					return SetTCPMD5Key(fd, local, tc.key)
				})
			})
			if refused != nil && tc.key != "" {
				if why := wait(t, c.closed); !errors.Is(why, ErrConnectFailed) {
					t.Errorf("closed by %v", why)
				}
				t.Skipf("not offered here: %v", refused)
			}
			if refused != nil {
				t.Skip("not offered here")
			}
			if tc.stands {
				wait(t, c.opened)
			} else if why := wait(t, c.closed); !errors.Is(why, ErrConnectFailed) {
				t.Errorf("closed by %v", why)
			}
		})
	}
	if err := SetTCPMD5Key(0, local, ""); err == nil || errors.Is(err, unix.ENOPROTOOPT) {
		t.Errorf("an empty key gives %v", err)
	}
}
