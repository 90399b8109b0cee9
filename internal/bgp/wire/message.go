// Package wire encodes and decodes BGP-4 messages, as far as a speaker needs that announces service addresses: RFC
// 4271 with capabilities (5492), four-octet AS numbers (6793), IPv4 and IPv6 unicast (4760), route refresh (2918),
// graceful restart (4724), communities (1997), revised error handling (7606) and shutdown messages (8203). It
// never reads past a message and keeps nothing of its input.
package wire

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"sort"
	"unicode/utf8"
)

const (
	headerLen        = 19
	MaxMessageLength = 4096
	asTrans          = 23456
)

// Message sorts.
const (
	typeOpen = 1 + iota
	typeUpdate
	typeNotification
	typeKeepalive
	typeRefresh
)

// Family is an address family; both are unicast.
type Family uint16

const (
	IPv4 Family = 1
	IPv6 Family = 2
)

func familyOf(p netip.Prefix) Family {
	if p.Addr().Is4() {
		return IPv4
	}
	return IPv6
}

// Message is one of Open, Update, Notification, Keepalive, Refresh.
type Message interface{ sort() byte }

type (
	Open struct {
		AS          uint32
		HoldTime    uint16 // seconds
		ID          [4]byte
		Families    []Family // announced by capability; none: IPv4
		FourOctetAS bool
		Refresh     bool
		Restart     *GracefulRestart
	}

	// GracefulRestart is the graceful restart capability.
	GracefulRestart struct {
		Restarted           bool
		Time                uint16 // seconds
		ForwardingPreserved map[Family]bool
	}

	Update struct {
		Withdrawn []netip.Prefix
		Announced []netip.Prefix
		Path      Path
		// Treated says that the attributes were malformed and all prefixes count as withdrawn (RFC 7606).
		TreatedAsWithdraw string
		ends              Family // the end of routes of a family other than IPv4
	}

	// Path is the set of attributes that a speaker of service addresses uses.
	Path struct {
		Origin      uint8
		AS          []uint32
		NextHop     netip.Addr
		MED         uint32
		HasMED      bool
		LocalPref   uint32
		HasPref     bool
		Communities []uint32
	}

	Notification struct {
		Code, Subcode uint8
		Data          []byte
	}

	Keepalive    struct{}
	RouteRefresh struct{ Family Family }
)

func (*Open) sort() byte         { return typeOpen }
func (*Update) sort() byte       { return typeUpdate }
func (*Notification) sort() byte { return typeNotification }
func (*Keepalive) sort() byte    { return typeKeepalive }
func (*RouteRefresh) sort() byte { return typeRefresh }

// Notification codes and subcodes.
const (
	CodeHeader                    = 1
	CodeOpen                      = 2
	CodeUpdate                    = 3
	CodeHoldTimerExpired          = 4
	CodeFSM                       = 5
	CodeCease                     = 6
	SubcodeNotSynchronized        = 1
	SubcodeBadMessageLength       = 2
	SubcodeBadMessageType         = 3
	SubcodeUnsupportedVersion     = 1
	SubcodeBadPeerAS              = 2
	SubcodeBadIdentifier          = 3
	SubcodeUnsupportedParameter   = 4
	SubcodeUnacceptableHoldTime   = 6
	SubcodeUnsupportedCapability  = 7
	SubcodeMalformedAttributes    = 1
	SubcodeAdministrativeShutdown = 2
	SubcodeConnectionRejected     = 5
	SubcodeCollisionResolution    = 7
)

// MessageError is a message that cannot be, as the notification that answers it.
type MessageError struct {
	Notification
	Reason string
}

func (f *MessageError) Error() string {
	return fmt.Sprintf("%s (notification %d/%d)", f.Reason, f.Code, f.Subcode)
}

func fault(code, sub uint8, data []byte, format string, a ...any) error {
	return &MessageError{Notification{code, sub, append([]byte(nil), data...)}, fmt.Sprintf(format, a...)}
}

// ShutdownText is the text of a shutdown message (RFC 8203), where there is one.
func (n *Notification) ShutdownText() string {
	if n.Code != CodeCease || n.Subcode != SubcodeAdministrativeShutdown && n.Subcode != 4 || len(n.Data) == 0 {
		return ""
	}
	size := int(n.Data[0])
	if size > 128 || size >= len(n.Data)+1 || size > len(n.Data)-1 || !utf8.Valid(n.Data[1:1+size]) {
		return ""
	}
	return string(n.Data[1 : 1+size])
}

// NewShutdown is a Cease that says why.
func NewShutdown(text string) *Notification {
	for len(text) > 128 || !utf8.ValidString(text) {
		text = text[:len(text)-1]
	}
	return &Notification{CodeCease, SubcodeAdministrativeShutdown, append([]byte{byte(len(text))}, text...)}
}

// MessageLength tells how long the message at the start of p is; 0: not enough has come to tell.
func MessageLength(p []byte) (int, error) {
	for i := range min(len(p), 16) {
		if p[i] != 0xFF {
			return 0, fault(CodeHeader, SubcodeNotSynchronized, nil, "no marker")
		}
	}
	if len(p) < headerLen {
		return 0, nil
	}
	n, sort := int(binary.BigEndian.Uint16(p[16:])), p[18]
	if sort < typeOpen || sort > typeRefresh {
		return 0, fault(CodeHeader, SubcodeBadMessageType, p[18:19], "unknown message type %d", sort)
	}
	least := map[byte]int{typeOpen: 29, typeUpdate: 23, typeNotification: 21, typeKeepalive: headerLen, typeRefresh: 23}[sort]
	if n < least || n > MaxMessageLength || sort == typeKeepalive && n != headerLen || sort == typeRefresh && n != 23 {
		return 0, fault(CodeHeader, SubcodeBadMessageLength, p[16:18], "length %d of a message of type %d", n, sort)
	}
	return n, nil
}

// Decode reads one whole message.
func Decode(p []byte) (Message, error) {
	n, err := MessageLength(p)
	if err != nil {
		return nil, err
	}
	if n == 0 || n != len(p) {
		return nil, fault(CodeHeader, SubcodeBadMessageLength, nil, "%d bytes are not one message", len(p))
	}
	body := p[headerLen:]
	switch p[18] {
	case typeOpen:
		return decodeOpen(body)
	case typeUpdate:
		return decodeUpdate(body)
	case typeNotification:
		return &Notification{body[0], body[1], append([]byte(nil), body[2:]...)}, nil
	case typeRefresh:
		return &RouteRefresh{Family(binary.BigEndian.Uint16(body))}, nil
	}
	return &Keepalive{}, nil
}

func decodeOpen(b []byte) (*Open, error) {
	if b[0] != 4 {
		return nil, fault(CodeOpen, SubcodeUnsupportedVersion, []byte{0, 4}, "version %d", b[0])
	}
	o := &Open{AS: uint32(binary.BigEndian.Uint16(b[1:])), HoldTime: binary.BigEndian.Uint16(b[3:]), ID: [4]byte(b[5:9])}
	if o.HoldTime == 1 || o.HoldTime == 2 {
		return nil, fault(CodeOpen, SubcodeUnacceptableHoldTime, nil, "hold time of %d s", o.HoldTime)
	}
	if o.ID == ([4]byte{}) {
		return nil, fault(CodeOpen, SubcodeBadIdentifier, nil, "identifier 0.0.0.0")
	}
	rest := b[10:]
	if int(b[9]) != len(rest) {
		return nil, fault(CodeOpen, 0, nil, "optional parameters of %d bytes in %d", b[9], len(rest))
	}
	for len(rest) > 0 {
		if len(rest) < 2 || len(rest) < 2+int(rest[1]) {
			return nil, fault(CodeOpen, 0, nil, "an optional parameter is cut short")
		}
		sort, value := rest[0], rest[2:2+rest[1]]
		rest = rest[2+rest[1]:]
		if sort != 2 {
			return nil, fault(CodeOpen, SubcodeUnsupportedParameter, nil, "optional parameter %d", sort)
		}
		for len(value) > 0 {
			if len(value) < 2 || len(value) < 2+int(value[1]) {
				return nil, fault(CodeOpen, 0, nil, "a capability is cut short")
			}
			if err := o.capability(value[0], value[2:2+value[1]]); err != nil {
				return nil, err
			}
			value = value[2+value[1]:]
		}
	}
	return o, nil
}

// capability reads one; unknown ones are passed over, as RFC 5492 wants.
func (o *Open) capability(code byte, v []byte) error {
	short := func() error { return fault(CodeOpen, 0, nil, "capability %d has %d bytes", code, len(v)) }
	switch code {
	case 1:
		if len(v) != 4 {
			return short()
		}
		if f := Family(binary.BigEndian.Uint16(v)); v[3] == 1 && (f == IPv4 || f == IPv6) {
			o.Families = append(o.Families, f)
		}
	case 2:
		o.Refresh = true
	case 64:
		if len(v) < 2 || (len(v)-2)%4 != 0 {
			return short()
		}
		r := &GracefulRestart{Restarted: v[0]&0x80 != 0, Time: binary.BigEndian.Uint16(v) & 0x0FFF, ForwardingPreserved: map[Family]bool{}}
		for x := v[2:]; len(x) > 0; x = x[4:] {
			if f := Family(binary.BigEndian.Uint16(x)); f == IPv4 || f == IPv6 { // others could not be written again
				r.ForwardingPreserved[f] = x[3]&0x80 != 0
			}
		}
		o.Restart = r
	case 65:
		if len(v) != 4 {
			return short()
		}
		o.AS, o.FourOctetAS = binary.BigEndian.Uint32(v), true
	}
	return nil
}

// prefixes reads a run of them; what is no prefix is told by ok.
func prefixes(b []byte, f Family) (all []netip.Prefix, ok bool) {
	most := 32
	if f == IPv6 {
		most = 128
	}
	for len(b) > 0 {
		bits := int(b[0])
		n := (bits + 7) / 8
		if bits > most || len(b) < 1+n {
			return nil, false
		}
		var a netip.Addr
		if f == IPv4 {
			var x [4]byte
			copy(x[:], b[1:1+n])
			a = netip.AddrFrom4(x)
		} else {
			var x [16]byte
			copy(x[:], b[1:1+n])
			a = netip.AddrFrom16(x)
		}
		all = append(all, netip.PrefixFrom(a, bits).Masked())
		b = b[1+n:]
	}
	return all, true
}

func appendPrefix(b []byte, p netip.Prefix) []byte {
	b = append(b, byte(p.Bits()))
	return append(b, p.Addr().AsSlice()[:(p.Bits()+7)/8]...)
}

// Attribute codes.
const (
	attrOrigin      = 1
	attrPath        = 2
	attrNextHop     = 3
	attrMED         = 4
	attrPref        = 5
	attrCommunities = 8
	attrReach       = 14
	attrUnreach     = 15
)

// decodeUpdate reads an update. By RFC 7606 only what leaves it unclear which prefixes are meant ends the session;
// faults of other attributes turn the announcement into a withdrawal.
func decodeUpdate(b []byte) (*Update, error) {
	u := &Update{}
	n := int(binary.BigEndian.Uint16(b))
	if len(b) < 4+n {
		return nil, fault(CodeUpdate, SubcodeMalformedAttributes, nil, "withdrawn routes of %d bytes in %d", n, len(b))
	}
	var ok bool
	if u.Withdrawn, ok = prefixes(b[2:2+n], IPv4); !ok {
		return nil, fault(CodeUpdate, 10, nil, "a withdrawn prefix is malformed")
	}
	b = b[2+n:]
	n = int(binary.BigEndian.Uint16(b))
	if len(b) < 2+n {
		return nil, fault(CodeUpdate, SubcodeMalformedAttributes, nil, "attributes of %d bytes in %d", n, len(b))
	}
	attrs, nlri := b[2:2+n], b[2+n:]
	if u.Announced, ok = prefixes(nlri, IPv4); !ok {
		return nil, fault(CodeUpdate, 10, nil, "an announced prefix is malformed")
	}
	seen := map[byte]bool{}
	for len(attrs) > 0 {
		head := 3
		if attrs[0]&0x10 != 0 {
			head = 4
		}
		size := 0
		if len(attrs) >= head {
			if size = int(attrs[2]); head == 4 {
				size = int(binary.BigEndian.Uint16(attrs[2:]))
			}
		}
		if len(attrs) < head+size {
			u.treat("an attribute is cut short")
			break
		}
		flags, code, value := attrs[0], attrs[1], attrs[head:head+size]
		attrs = attrs[head+size:]
		if seen[code] {
			if code == attrReach || code == attrUnreach {
				return nil, fault(CodeUpdate, SubcodeMalformedAttributes, nil, "attribute %d stands twice", code)
			}
			continue // the first counts
		}
		seen[code] = true
		if err := u.attribute(flags, code, value); err != nil {
			return nil, err
		}
	}
	if len(u.Announced) > 0 {
		for _, code := range []byte{attrOrigin, attrPath} {
			if !seen[code] {
				u.treat(fmt.Sprintf("attribute %d is missing", code))
			}
		}
		if !u.Path.NextHop.IsValid() {
			u.treat("there is no next hop")
		}
	}
	if u.TreatedAsWithdraw != "" {
		u.Withdrawn = append(u.Withdrawn, u.Announced...)
		u.Announced, u.Path = nil, Path{}
	}
	return u, nil
}

func (u *Update) treat(why string) {
	if u.TreatedAsWithdraw == "" {
		u.TreatedAsWithdraw = why
	}
}

func (u *Update) attribute(flags, code byte, v []byte) error {
	wrong := func() error {
		u.treat(fmt.Sprintf("attribute %d is malformed", code))
		return nil
	}
	// The well-known ones are transitive and not optional.
	if code >= attrOrigin && code <= attrNextHop && flags&0xC0 != 0x40 {
		return wrong()
	}
	switch code {
	case attrOrigin:
		if len(v) != 1 || v[0] > 2 {
			return wrong()
		}
		u.Path.Origin = v[0]
	case attrPath:
		for len(v) > 0 {
			if len(v) < 2 || v[0] < 1 || v[0] > 4 || v[1] == 0 || len(v) < 2+4*int(v[1]) {
				return wrong()
			}
			for i := range int(v[1]) {
				u.Path.AS = append(u.Path.AS, binary.BigEndian.Uint32(v[2+4*i:]))
			}
			v = v[2+4*int(v[1]):]
		}
	case attrNextHop:
		if len(v) != 4 {
			return wrong()
		}
		u.Path.NextHop = netip.AddrFrom4([4]byte(v))
	case attrMED:
		if len(v) != 4 {
			return wrong()
		}
		u.Path.MED, u.Path.HasMED = binary.BigEndian.Uint32(v), true
	case attrPref:
		if len(v) != 4 {
			return wrong()
		}
		u.Path.LocalPref, u.Path.HasPref = binary.BigEndian.Uint32(v), true
	case attrCommunities:
		if len(v) == 0 || len(v)%4 != 0 {
			return wrong()
		}
		for ; len(v) > 0; v = v[4:] {
			u.Path.Communities = append(u.Path.Communities, binary.BigEndian.Uint32(v))
		}
	case attrReach:
		if len(v) < 5 || len(v) < 5+int(v[3]) {
			return fault(CodeUpdate, 9, nil, "reachable prefixes are malformed")
		}
		f, hop, rest := Family(binary.BigEndian.Uint16(v)), v[4:4+v[3]], v[5+v[3]:]
		if v[2] != 1 || f != IPv4 && f != IPv6 {
			return nil // a family that was never agreed on
		}
		all, ok := prefixes(rest, f)
		if !ok {
			return fault(CodeUpdate, 9, nil, "a reachable prefix is malformed")
		}
		switch len(hop) {
		case 4:
			u.Path.NextHop = netip.AddrFrom4([4]byte(hop))
		case 16, 32:
			u.Path.NextHop = netip.AddrFrom16([16]byte(hop[:16]))
		default:
			return fault(CodeUpdate, 9, nil, "a next hop of %d bytes", len(hop))
		}
		u.Announced = append(u.Announced, all...)
	case attrUnreach:
		if len(v) < 3 {
			return fault(CodeUpdate, 9, nil, "unreachable prefixes are malformed")
		}
		f := Family(binary.BigEndian.Uint16(v))
		if v[2] != 1 || f != IPv4 && f != IPv6 {
			return nil
		}
		if len(v) == 3 {
			u.ends = f
		}
		all, ok := prefixes(v[3:], f)
		if !ok {
			return fault(CodeUpdate, 9, nil, "an unreachable prefix is malformed")
		}
		u.Withdrawn = append(u.Withdrawn, all...)
	}
	return nil
}

// Append writes a message after b; an update must fit into one message (see Pack).
func Append(b []byte, m Message) ([]byte, error) {
	start := len(b)
	for range 16 {
		b = append(b, 0xFF)
	}
	b = append(b, 0, 0, m.sort())
	switch m := m.(type) {
	case *Open:
		b = m.append(b)
	case *Update:
		b = m.append(b)
	case *Notification:
		b = append(append(b, m.Code, m.Subcode), m.Data...)
	case *RouteRefresh:
		b = append(binary.BigEndian.AppendUint16(b, uint16(m.Family)), 0, 1)
	}
	n := len(b) - start
	if n > MaxMessageLength {
		return b[:start], fmt.Errorf("a message of %d bytes, %d are allowed", n, MaxMessageLength)
	}
	binary.BigEndian.PutUint16(b[start+16:], uint16(n))
	return b, nil
}

func (o *Open) append(b []byte) []byte {
	short := uint16(asTrans)
	if o.AS < 1<<16 {
		short = uint16(o.AS)
	}
	b = append(b, 4)
	b = binary.BigEndian.AppendUint16(b, short)
	b = binary.BigEndian.AppendUint16(b, o.HoldTime)
	b = append(b, o.ID[:]...)
	var caps []byte
	for _, f := range o.Families {
		caps = append(binary.BigEndian.AppendUint16(append(caps, 1, 4), uint16(f)), 0, 1)
	}
	if o.Refresh {
		caps = append(caps, 2, 0)
	}
	if r := o.Restart; r != nil {
		flags := r.Time & 0x0FFF
		if r.Restarted {
			flags |= 0x8000
		}
		caps = binary.BigEndian.AppendUint16(append(caps, 64, byte(2+4*len(r.ForwardingPreserved))), flags)
		for _, f := range []Family{IPv4, IPv6} {
			if kept, ok := r.ForwardingPreserved[f]; ok {
				flag := byte(0)
				if kept {
					flag = 0x80
				}
				caps = append(binary.BigEndian.AppendUint16(caps, uint16(f)), 1, flag)
			}
		}
	}
	if o.FourOctetAS {
		caps = binary.BigEndian.AppendUint32(append(caps, 65, 4), o.AS)
	}
	if len(caps) == 0 {
		return append(b, 0)
	}
	return append(append(b, byte(2+len(caps)), 2, byte(len(caps))), caps...)
}

func split(all []netip.Prefix) (four, six []netip.Prefix) {
	for _, p := range all {
		if familyOf(p) == IPv4 {
			four = append(four, p)
		} else {
			six = append(six, p)
		}
	}
	return four, six
}

func (u *Update) append(b []byte) []byte {
	gone4, gone6 := split(u.Withdrawn)
	new4, new6 := split(u.Announced)
	var run []byte
	for _, p := range gone4 {
		run = appendPrefix(run, p)
	}
	b = append(binary.BigEndian.AppendUint16(b, uint16(len(run))), run...)
	var attrs []byte
	attr := func(flags, code byte, value []byte) {
		if len(value) > 255 {
			attrs = binary.BigEndian.AppendUint16(append(attrs, flags|0x10, code), uint16(len(value)))
		} else {
			attrs = append(attrs, flags, code, byte(len(value)))
		}
		attrs = append(attrs, value...)
	}
	if u.ends == IPv6 {
		attr(0x80, attrUnreach, []byte{0, byte(IPv6), 1})
	}
	if len(gone6) > 0 {
		value := []byte{0, byte(IPv6), 1}
		for _, p := range gone6 {
			value = appendPrefix(value, p)
		}
		attr(0x80, attrUnreach, value)
	}
	if len(u.Announced) > 0 {
		p := &u.Path
		attr(0x40, attrOrigin, []byte{p.Origin})
		var path []byte
		for at := 0; at < len(p.AS); at += 255 {
			part := p.AS[at:min(at+255, len(p.AS))]
			path = append(path, 2, byte(len(part)))
			for _, as := range part {
				path = binary.BigEndian.AppendUint32(path, as)
			}
		}
		attr(0x40, attrPath, path)
		if len(new4) > 0 {
			attr(0x40, attrNextHop, p.NextHop.AsSlice())
		}
		if p.HasMED {
			attr(0x80, attrMED, binary.BigEndian.AppendUint32(nil, p.MED))
		}
		if p.HasPref {
			attr(0x40, attrPref, binary.BigEndian.AppendUint32(nil, p.LocalPref))
		}
		if len(p.Communities) > 0 {
			var value []byte
			for _, c := range p.Communities {
				value = binary.BigEndian.AppendUint32(value, c)
			}
			attr(0xC0, attrCommunities, value)
		}
		if len(new6) > 0 {
			hop := p.NextHop.As16()
			value := append([]byte{0, byte(IPv6), 1, 16}, hop[:]...)
			value = append(value, 0)
			for _, x := range new6 {
				value = appendPrefix(value, x)
			}
			attr(0x80, attrReach, value)
		}
	}
	b = append(binary.BigEndian.AppendUint16(b, uint16(len(attrs))), attrs...)
	for _, p := range new4 {
		b = appendPrefix(b, p)
	}
	return b
}

// Pack shares updates out: announcements of one path and withdrawals, each family for itself, as few messages as
// hold them, none over the limit.
func Pack(withdrawn, announced []netip.Prefix, path Path) []*Update {
	var out []*Update
	pack := func(all []netip.Prefix, make func([]netip.Prefix) *Update) {
		sort.Slice(all, func(i, j int) bool {
			if c := all[i].Addr().Compare(all[j].Addr()); c != 0 {
				return c < 0
			}
			return all[i].Bits() < all[j].Bits()
		})
		for len(all) > 0 {
			base, _ := Append(nil, make(all[:1]))
			room, n := MaxMessageLength-len(base)-8, 1
			for n < len(all) && room >= 1+(all[n].Bits()+7)/8 {
				room -= 1 + (all[n].Bits()+7)/8
				n++
			}
			out = append(out, make(all[:n]))
			all = all[n:]
		}
	}
	gone4, gone6 := split(withdrawn)
	new4, new6 := split(announced)
	gone := func(p []netip.Prefix) *Update { return &Update{Withdrawn: p} }
	here := func(p []netip.Prefix) *Update { return &Update{Announced: p, Path: path} }
	pack(gone4, gone)
	pack(gone6, gone)
	pack(new4, here)
	pack(new6, here)
	return out
}

// EndOfRIB marks that all routes of a family were sent (RFC 4724, section 2).
func EndOfRIB(f Family) *Update {
	if f == IPv4 {
		return &Update{}
	}
	return &Update{ends: f}
}

// EndOfRIBFamily tells whether an update marks the end of routes of a family.
func (u *Update) EndOfRIBFamily() (Family, bool) {
	if len(u.Withdrawn)+len(u.Announced) > 0 || u.TreatedAsWithdraw != "" {
		return 0, false
	}
	if u.ends == IPv6 {
		return IPv6, true
	}
	return IPv4, true
}
