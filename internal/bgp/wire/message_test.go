package wire

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

func prefix(s string) netip.Prefix { return netip.MustParsePrefix(s) }

var path = PathAttributes{
	ASPath: []uint32{4200000001}, NextHop: netip.MustParseAddr("192.0.2.254"), MED: 7, HasMED: true, LocalPref: 100,
	HasLocalPref: true, Communities: []uint32{0xFFFF0000, 65000<<16 | 1},
}

var path6 = PathAttributes{ASPath: []uint32{65001, 65002}, NextHop: netip.MustParseAddr("2001:db8::1")}

func samples() []Message {
	return []Message{
		&Open{
			AS: 4200000001, HoldTime: 90, ID: [4]byte{10, 0, 0, 1}, Families: []Family{IPv4, IPv6},
			FourOctetAS: true, Refresh: true, Restart: &GracefulRestart{
				Restarted: true, Time: 120, ForwardingPreserved: map[Family]bool{IPv4: true, IPv6: false},
			},
		},
		&Open{AS: 65001, HoldTime: 0, ID: [4]byte{1}},
		&Keepalive{},
		&RouteRefresh{IPv6},
		&Notification{6, 2, []byte{2, 'h', 'i'}},
		&Update{Withdrawn: []netip.Prefix{prefix("192.0.2.1/32"), prefix("198.51.100.0/25")}},
		&Update{},
		&Update{Announced: []netip.Prefix{prefix("192.0.2.0/24"), prefix("0.0.0.0/0")}, Path: path},
		&Update{
			Withdrawn: []netip.Prefix{prefix("2001:db8::/48")},
			Announced: []netip.Prefix{prefix("2001:db8:1::5/128")},
			Path:      path6,
		},
	}
}

func encode(tb testing.TB, m Message) []byte {
	tb.Helper()
	p, err := Append(nil, m)
	testutil.NoError(tb, err)
	return p
}

// Decoding an encoded message returns the same message.
func TestEncodedMessageIsDecodedUnchanged(t *testing.T) {
	for i, m := range samples() {
		got, err := Decode(encode(t, m))
		testutil.Expect(t, err == nil && reflect.DeepEqual(got, m), "%d: got %+v, %v, want %+v", i, got, err, m)
	}
}

// withParameters returns a function that adds optional parameters to an encoded Open without any.
func withParameters(parameters ...byte) func(p []byte) []byte {
	return func(p []byte) []byte {
		added := byte(len(parameters))
		p[28], p[17] = added, p[17]+added
		return append(p, parameters...)
	}
}

// responseTo describes the response to a decoded message: the code and subcode of a notification, "withdrawn", or "ok".
func responseTo(m Message, err error) string {
	if fault, ok := errors.AsType[*MessageError](err); ok {
		return fmt.Sprintf("%d/%d", fault.Code, fault.Subcode)
	}
	u, ok := m.(*Update)
	if ok && u.TreatedAsWithdraw != "" && len(u.Withdrawn) == 1 && len(u.Announced) == 0 {
		return "withdrawn"
	}
	return "ok"
}

// A malformed message is answered by the notification that its RFC requires, or treated as a withdrawal.
func TestMalformedMessageIsAnsweredAsRFCRequires(t *testing.T) {
	change := func(m Message, f func(p []byte) []byte) []byte { return f(encode(t, m)) }
	update := func(attrs ...byte) []byte { // returns an update of 192.0.2.0/24 with these attributes
		p := encode(t, &Keepalive{})[:typeOffset]
		p = append(p, byte(typeUpdate), 0, 0, byte(len(attrs)>>8), byte(len(attrs)))
		p = append(append(p, attrs...), 24, 192, 0, 2)
		p[17] = byte(len(p))
		return p
	}
	valid := []byte{0x40, 1, 1, 0, 0x40, 2, 0, 0x40, 3, 4, 192, 0, 2, 254}
	open, withdrawal := samples()[1], &Update{Withdrawn: []netip.Prefix{prefix("192.0.2.1/32")}}
	for _, tc := range []struct {
		name string
		in   []byte
		want string // code/subcode, or "withdrawn", or "ok"
	}{
		{"marker", change(open, func(p []byte) []byte { p[3] = 0; return p }), "1/1"},
		{"type", change(open, func(p []byte) []byte { p[18] = 9; return p }), "1/3"},
		{"length", change(&Keepalive{}, func(p []byte) []byte { p[17] = 20; return append(p, 0) }), "1/2"},
		{"version", change(open, func(p []byte) []byte { p[19] = 3; return p }), "2/1"},
		{"hold time", change(open, func(p []byte) []byte { p[23] = 2; return p }), "2/6"},
		{"identifier", change(open, func(p []byte) []byte { p[24] = 0; return p }), "2/3"},
		{"parameters beyond the end", change(open, func(p []byte) []byte { p[28] = 9; return p }), "2/0"},
		{"parameter of another type", change(open, withParameters(1, 0)), "2/4"},
		{"capability is truncated", change(open, withParameters(2, 2, 65, 4)), "2/0"},
		{"withdrawn beyond the end", change(&Update{}, func(p []byte) []byte { p[20] = 9; return p }), "3/1"},
		{"prefix too long", change(withdrawal, func(p []byte) []byte { p[21] = 33; return p }), "3/10"},
		{"good", update(valid...), "ok"},
		{"origin", update(append([]byte{0x40, 1, 1, 9}, valid[4:]...)...), "withdrawn"},
		{"flags", update(append([]byte{0xC0, 1, 1, 0}, valid[4:]...)...), "withdrawn"},
		{"no next hop", update(valid[:7]...), "withdrawn"},
		{"path", update(append([]byte{0x40, 1, 1, 0, 0x40, 2, 2, 2, 0}, valid[7:]...)...), "withdrawn"},
		{"communities", update(append(valid, 0xC0, 8, 3, 1, 2, 3)...), "withdrawn"},
		{"attribute is truncated", update(append(valid, 0x80, 4, 9)...), "withdrawn"},
		{"an attribute is repeated", update(append(valid, 0x40, 1, 1, 2)...), "ok"},
		{"an unknown attribute", update(append(valid, 0xC0, 99, 2, 1, 2)...), "ok"},
		{"reachable prefixes", update(append(valid, 0x80, 14, 5, 0, 2, 1, 16, 0)...), "3/9"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, err := Decode(tc.in)
			got := responseTo(m, err)
			testutil.Expect(t, got == tc.want, "got %s (%v, %+v), want %s", got, err, m, tc.want)
		})
	}
}

// A shutdown text is cut to 128 bytes at a character boundary. A malformed text is not returned.
func TestShutdownTextIsValidUTF8OfLimitedLength(t *testing.T) {
	testutil.Equal(t, NewShutdown(strings.Repeat("ö", 100)).ShutdownText(), strings.Repeat("ö", 64), "the text")
	for _, data := range [][]byte{nil, {5, 'a'}, {200}, {1, 0xFF}} {
		got := (&Notification{CodeCease, SubcodeAdministrativeShutdown, data}).ShutdownText()
		testutil.Expect(t, got == "", "the text of %v is %q", data, got)
	}
}

// Pack distributes 100,000 prefixes with the same path over few messages. No prefix is lost and no message is too long.
func TestPackedUpdatesHoldEveryPrefixInFewMessages(t *testing.T) {
	var all []netip.Prefix
	for i := range 100_000 {
		a := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		if i%3 == 0 {
			x := [16]byte{0x20, 1, 0xd, 0xb8, 14: byte(i >> 8), 15: byte(i)}
			x[13] = byte(i >> 16)
			a = netip.AddrFrom16(x)
		}
		all = append(all, netip.PrefixFrom(a, a.BitLen()))
	}
	p := path
	p.NextHop = netip.MustParseAddr("192.0.2.254")
	updates, seen, bytes := Pack(all[:1000], all, p), map[netip.Prefix]int{}, 0
	for _, u := range updates {
		b := encode(t, u)
		bytes += len(b)
		m, err := Decode(b)
		testutil.NoError(t, err)
		for _, x := range m.(*Update).Announced {
			seen[x]++
		}
	}
	testutil.Expect(t, len(seen) == len(all) && len(updates) <= 450,
		"%d prefixes in %d messages", len(seen), len(updates))
	t.Logf("%d prefixes: %d messages, %d bytes", len(all), len(updates), bytes)
}

// Decode returns a message or a MessageError for any input. A decoded message can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		f.Add(encode(f, m))
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		m, err := Decode(p)
		if err != nil {
			var fault *MessageError
			testutil.Require(t, errors.As(err, &fault) && fault.Code != 0, "no notification for the error: %v", err)
			return
		}
		again, err := Append(nil, m)
		if err != nil {
			return // the encoding may exceed the limit, for example if it holds two next hops
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("%+v was decoded, but its encoding cannot be decoded: %v", m, err)
		}
	})
}
