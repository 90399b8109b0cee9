package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/testutil"
)

type goldenMessage struct {
	name        string
	description string // content of the message in words
	message     Message
}

// goldenMessages returns the messages recorded in testdata/messages.txt. Each field is set in at least one of them.
func goldenMessages() []goldenMessage {
	return append(append(goldenOpens(), goldenUpdates()...),
		goldenMessage{
			"notification", "Notification 2/2, bad peer AS, with the data 1 2 3",
			&Notification{Code: CodeOpen, Subcode: SubcodeBadPeerAS, Data: []byte{1, 2, 3}},
		},
		goldenMessage{
			"notification-shutdown", "Notification 6/2, administrative shutdown, with the text maintenance",
			NewShutdown("maintenance"),
		},
		goldenMessage{
			"notification-long", "Notification 6/2 with a text of 128 bytes, cut from 130",
			NewShutdown(strings.Repeat("x", 130)),
		},
		goldenMessage{"keepalive", "Keepalive", &Keepalive{}},
		goldenMessage{"refresh", "Route refresh of IPv6 unicast", &RouteRefresh{Family: IPv6}},
	)
}

func goldenOpens() []goldenMessage {
	return []goldenMessage{
		{
			"open",
			"Open of AS 4200000001, hold time 90 s, identifier 10.0.0.1; capabilities: IPv4, IPv6, route refresh, " +
				"graceful restart (restarted, 120 s, IPv4 kept, IPv6 not), four-octet AS",
			samples()[0],
		},
		{
			"open-plain",
			"Open of AS 65001, hold time 3 s, identifier 1.2.3.4, without any capability",
			&Open{AS: 65001, HoldTime: 3, ID: [4]byte{1, 2, 3, 4}},
		},
	}
}

func goldenUpdates() []goldenMessage {
	allAttributes := PathAttributes{
		Origin: 1, ASPath: []uint32{65001, 4200000001}, NextHop: netip.MustParseAddr("192.0.2.254"),
		MED: 70, HasMED: true, LocalPref: 100, HasLocalPref: true, Communities: []uint32{0xFFFF0000, 65000<<16 | 1},
	}
	ipv6Attributes := PathAttributes{
		Origin: 2, ASPath: []uint32{65001}, NextHop: netip.MustParseAddr("2001:db8::1"), HasMED: true,
	}
	single := func(s string) []netip.Prefix { return []netip.Prefix{prefix(s)} }
	return []goldenMessage{
		{
			"update-ipv4",
			"Update: withdraws 198.51.100.128/25, announces 192.0.2.1/32 with origin EGP, AS path 65001 4200000001, " +
				"next hop 192.0.2.254, MED 70, local preference 100, communities 65535:0 and 65000:1",
			&Update{Withdrawn: single("198.51.100.128/25"), Announced: single("192.0.2.1/32"), Path: allAttributes},
		},
		{
			"update-ipv6",
			"Update: withdraws 2001:db8:1::/48, announces 2001:db8:2::7/128 with origin incomplete, AS path 65001, " +
				"next hop 2001:db8::1, MED 0",
			&Update{Withdrawn: single("2001:db8:1::/48"), Announced: single("2001:db8:2::7/128"), Path: ipv6Attributes},
		},
		{"end-of-routes-ipv4", "Update without anything: the end of IPv4 routes", EndOfRIB(IPv4)},
		{"end-of-routes-ipv6", "Update with an empty MP_UNREACH: the end of IPv6 routes", EndOfRIB(IPv6)},
	}
}

const messagesFile = "testdata/messages.txt"

// readGoldenMessages returns the recorded bytes by the name of the message.
func readGoldenMessages(t *testing.T) map[string][]byte {
	t.Helper()
	text := testutil.ReadFile(t, messagesFile)
	recorded := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] != "#" {
			message, err := hex.DecodeString(fields[1])
			testutil.NoError(t, err)
			recorded[fields[0]] = message
		}
	}
	return recorded
}

// goldenMessagesText returns the expected content of messagesFile.
func goldenMessagesText(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	text.WriteString("# BGP messages as they go on the wire: name, bytes in hex. ")
	text.WriteString("The comment before each says what it holds.\n")
	for _, g := range goldenMessages() {
		fmt.Fprintf(&text, "# %s\n%s %x\n", g.description, g.name, encode(t, g.message))
	}
	return text.String()
}

// TestMessagesMatchGoldenBytes decodes each recorded message, compares all fields, and encodes it again.
func TestMessagesMatchGoldenBytes(t *testing.T) {
	golden.CheckText(t, messagesFile, goldenMessagesText(t))
	want := readGoldenMessages(t)
	all := goldenMessages()
	testutil.Expect(t, len(want) == len(all), "%d messages recorded, want %d", len(want), len(all))
	for _, g := range all {
		t.Run(g.name, func(t *testing.T) {
			got, err := Decode(want[g.name])
			testutil.Expect(t, err == nil && reflect.DeepEqual(got, g.message),
				"decoded %+v, %v, want %+v", got, err, g.message)
			encoded, err := Append(nil, g.message)
			testutil.Expect(t, err == nil && string(encoded) == string(want[g.name]),
				"encoded %x, %v, want %x", encoded, err, want[g.name])
		})
	}
}

// TestDecodingMatchesGoldenDigests decodes intact and corrupted messages. It compares a digest of the decoded messages,
// or of the notifications in the errors, with the one in testdata. The digest does not cover the reasons of errors.
func TestDecodingMatchesGoldenDigests(t *testing.T) {
	var got strings.Builder
	inputs := goldenMessages()
	for seed := range len(inputs) + 1 {
		random := rand.New(rand.NewPCG(uint64(seed), 37))
		name, intact := "update-two-next-hops", updateWithTwoNextHops()
		if seed < len(inputs) {
			name = inputs[seed].name
			var err error
			intact, err = Append(nil, inputs[seed].message)
			testutil.NoError(t, err)
		}
		sum, decoded, faults := golden.NewDigest(), 0, 0
		for range 4000 {
			m, err := Decode(corrupt(random, intact))
			if err == nil {
				decoded++
				digestMessage(t, sum, m)
				continue
			}
			var f *MessageError
			testutil.Require(t, errors.As(err, &f), "%v is not a MessageError", err)
			faults++
			sum.Numbers(99, uint64(f.Code), uint64(f.Subcode), uint64(len(f.Data)))
			sum.Bytes(f.Data)
		}
		fmt.Fprintf(&got, "%s: %d decoded, %d faults, sha256 %s\n", name, decoded, faults, sum.Sum())
	}
	got.WriteString(packDigest(t))
	golden.CheckText(t, "testdata/decoding.txt", got.String())
}

// updateWithTwoNextHops returns an update that announces 2001:db8:2::/48 with a global and a link-local next hop, as
// some routers do (RFC 2545).
func updateWithTwoNextHops() []byte {
	global, local := netip.MustParseAddr("2001:db8::1").As16(), netip.MustParseAddr("fe80::1").As16()
	reach := append([]byte{0, byte(IPv6), 1, 32}, append(global[:], local[:]...)...)
	reach = append(reach, 0, 48, 0x20, 1, 0xd, 0xb8, 0, 2)
	attributes := []byte{0x40, byte(attributeOrigin), 1, 0, 0x40, byte(attributeASPath), 0}
	attributes = append(append(attributes, 0x80, byte(attributeMPReach), byte(len(reach))), reach...)
	p := append(bytes.Repeat([]byte{0xFF}, 16), 0, 0, byte(typeUpdate), 0, 0, 0, byte(len(attributes)))
	return append(p, attributes...)
}

// corrupt returns a copy of a message that may be truncated or extended, with up to three changed bytes. In most cases
// the length in the header is correct.
func corrupt(random *rand.Rand, intact []byte) []byte {
	p := append([]byte(nil), intact...)
	if random.IntN(6) == 0 {
		p = p[:19+random.IntN(len(p)-18)]
	} else if random.IntN(6) == 0 {
		for range 1 + random.IntN(8) {
			p = append(p, byte(random.IntN(256)))
		}
	}
	if len(p) > 18 {
		binary.BigEndian.PutUint16(p[16:], uint16(len(p)))
	}
	for range random.IntN(4) {
		at := 18 + random.IntN(len(p)-18)
		if random.IntN(30) == 0 {
			at = random.IntN(18)
		}
		p[at] = byte([]int{random.IntN(256), random.IntN(8), int(p[at]) ^ 1<<random.IntN(8)}[random.IntN(3)])
	}
	return p
}

// digestMessage adds the encoding of a message to the digest, and the information that the encoding loses.
func digestMessage(t *testing.T, sum *golden.Digest, m Message) {
	t.Helper()
	sum.Text(string(encode(t, m)))
	switch m := m.(type) {
	case *Update:
		family, ends := m.EndOfRIBFamily()
		sum.Numbers(1, uint64(family))
		if ends {
			sum.Numbers(2)
		}
		if m.TreatedAsWithdraw != "" {
			sum.Numbers(3)
		}
	case *Notification:
		sum.Printf("%s", m.ShutdownText())
	}
}

// packDigest returns a line with the digest of the messages over which Pack distributes prefixes.
func packDigest(t *testing.T) string {
	t.Helper()
	random, sum := rand.New(rand.NewPCG(1, 41)), golden.NewDigest()
	path := PathAttributes{ASPath: []uint32{65001}, NextHop: path.NextHop, LocalPref: 100, HasLocalPref: true}
	for size := 1; size <= 20_000; size *= 3 {
		prefixes := func() (all []netip.Prefix) {
			for range random.IntN(size) {
				if random.IntN(3) == 0 {
					a := [16]byte{0x20, 1, 0xd, 0xb8, 14: byte(random.IntN(256)), 15: byte(random.IntN(256))}
					all = append(all, netip.PrefixFrom(netip.AddrFrom16(a), 64+random.IntN(65)).Masked())
				} else {
					a := [4]byte{10, byte(random.IntN(256)), byte(random.IntN(256)), byte(random.IntN(256))}
					all = append(all, netip.PrefixFrom(netip.AddrFrom4(a), 16+random.IntN(17)).Masked())
				}
			}
			return all
		}
		for _, u := range Pack(prefixes(), prefixes(), path) {
			sum.Count(1)
			digestMessage(t, sum, u)
		}
	}
	return fmt.Sprintf("packed: %s\n", sum.Summary("messages"))
}
