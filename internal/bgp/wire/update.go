package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// Update withdraws prefixes and announces others. All announced prefixes share one set of path attributes.
type Update struct {
	Withdrawn []netip.Prefix
	Announced []netip.Prefix
	Path      PathAttributes
	// TreatedAsWithdraw is the error in the path attributes, or empty. The prefixes that an update with such an error
	// announced are among the withdrawn ones (RFC 7606).
	TreatedAsWithdraw string
	// endOfRIB is IPv6 if the update holds only an empty MP_UNREACH_NLRI of that family.
	endOfRIB Family
}

// PathAttributes holds the supported path attributes.
type PathAttributes struct {
	Origin       uint8
	ASPath       []uint32
	NextHop      netip.Addr
	MED          uint32
	HasMED       bool
	LocalPref    uint32
	HasLocalPref bool
	Communities  []uint32
}

// EndOfRIB returns the End-of-RIB marker of a family (RFC 4724, section 2).
func EndOfRIB(f Family) *Update {
	if f == IPv4 {
		return &Update{}
	}
	return &Update{endOfRIB: f}
}

// EndOfRIBFamily returns the family of an End-of-RIB marker, and whether the update is such a marker.
func (u *Update) EndOfRIBFamily() (Family, bool) {
	if len(u.Withdrawn)+len(u.Announced) > 0 || u.TreatedAsWithdraw != "" {
		return 0, false
	}
	if u.endOfRIB == IPv6 {
		return IPv6, true
	}
	return IPv4, true
}

func (*Update) messageType() messageType { return typeUpdate }

func (u *Update) appendBody(b []byte) []byte {
	withdrawn4, withdrawn6 := splitByFamily(u.Withdrawn)
	announced4, announced6 := splitByFamily(u.Announced)
	b = appendWithLength(b, appendPrefixes(nil, withdrawn4))

	var attributes []byte
	if u.endOfRIB == IPv6 {
		attributes = appendMPUnreach(attributes, IPv6, nil)
	}
	if len(withdrawn6) > 0 {
		attributes = appendMPUnreach(attributes, IPv6, withdrawn6)
	}
	if len(u.Announced) > 0 {
		attributes = u.Path.append(attributes, announced4, announced6)
	}
	b = appendWithLength(b, attributes)
	return appendPrefixes(b, announced4)
}

// append appends the path attributes. Announced IPv6 prefixes are part of the attributes; IPv4 prefixes are not.
func (p *PathAttributes) append(b []byte, announced4, announced6 []netip.Prefix) []byte {
	b = appendOrigin(b, p.Origin)
	b = appendASPath(b, p.ASPath)
	if len(announced4) > 0 {
		b = appendNextHop(b, p.NextHop)
	}
	if p.HasMED {
		b = appendMED(b, p.MED)
	}
	if p.HasLocalPref {
		b = appendLocalPref(b, p.LocalPref)
	}
	if len(p.Communities) > 0 {
		b = appendCommunities(b, p.Communities)
	}
	if len(announced6) > 0 {
		b = appendMPReach(b, p.NextHop, announced6)
	}
	return b
}

// decodeUpdate decodes an Update. It returns an error, which ends the session, only if the prefixes cannot be
// determined. Other errors in attributes turn the announcement into a withdrawal (RFC 7606).
func decodeUpdate(body []byte) (Message, error) {
	u := &Update{}
	withdrawn, rest, ok := splitWithLength(body)
	if !ok || len(rest) < 2 {
		return nil, newMessageError(CodeUpdate, SubcodeMalformedAttributes, nil, "withdrawn routes exceed the message")
	}
	if u.Withdrawn, ok = decodePrefixes(withdrawn, IPv4); !ok {
		return nil, newMessageError(CodeUpdate, SubcodeInvalidNetworkField, nil, "a withdrawn prefix is malformed")
	}
	attributes, announced, ok := splitWithLength(rest)
	if !ok {
		return nil, newMessageError(CodeUpdate, SubcodeMalformedAttributes, nil, "attributes exceed the message")
	}
	if u.Announced, ok = decodePrefixes(announced, IPv4); !ok {
		return nil, newMessageError(CodeUpdate, SubcodeInvalidNetworkField, nil, "an announced prefix is malformed")
	}
	present, err := u.decodeAttributes(attributes)
	if err != nil {
		return nil, err
	}
	u.requireAttributes(present)
	if u.TreatedAsWithdraw != "" {
		u.Withdrawn = append(u.Withdrawn, u.Announced...)
		u.Announced, u.Path = nil, PathAttributes{}
	}
	return u, nil
}

// decodeAttributes decodes path attributes and returns which are present. If an attribute is repeated, the first
// occurrence is used.
func (u *Update) decodeAttributes(b []byte) (present map[attributeCode]bool, err error) {
	present = map[attributeCode]bool{}
	for len(b) > 0 {
		a, rest, ok := nextAttribute(b)
		if !ok {
			u.treatAsWithdraw("an attribute is truncated")
			break
		}
		b = rest
		if present[a.code] {
			err = checkRepeated(a.code)
		} else {
			present[a.code] = true
			err = u.decodeAttribute(a)
		}
		if errors.Is(err, errMalformedAttribute) {
			u.treatAsWithdraw(fmt.Sprintf("attribute %d is malformed", a.code))
		} else if err != nil {
			return nil, err
		}
	}
	return present, nil
}

// checkRepeated returns a *MessageError for an attribute that an update must not repeat (RFC 7606, section 3 g).
func checkRepeated(code attributeCode) error {
	if code != attributeMPReach && code != attributeMPUnreach {
		return nil
	}
	return newMessageError(CodeUpdate, SubcodeMalformedAttributes, nil, "attribute %d is repeated", code)
}

// requireAttributes checks that an announcement has the mandatory attributes.
func (u *Update) requireAttributes(present map[attributeCode]bool) {
	if len(u.Announced) == 0 {
		return
	}
	for _, code := range []attributeCode{attributeOrigin, attributeASPath} {
		if !present[code] {
			u.treatAsWithdraw(fmt.Sprintf("attribute %d is missing", code))
		}
	}
	if !u.Path.NextHop.IsValid() {
		u.treatAsWithdraw("the next hop is missing")
	}
}

// treatAsWithdraw marks the update to be treated as a withdrawal. The first reason is kept.
func (u *Update) treatAsWithdraw(reason string) {
	if u.TreatedAsWithdraw == "" {
		u.TreatedAsWithdraw = reason
	}
}

// appendWithLength appends a field preceded by its two-byte length.
func appendWithLength(b, field []byte) []byte {
	return append(binary.BigEndian.AppendUint16(b, uint16(len(field))), field...)
}

// splitWithLength splits off a field preceded by its two-byte length. b must hold at least the length. It returns false
// if the field exceeds b.
func splitWithLength(b []byte) (field, rest []byte, ok bool) {
	length, b := int(binary.BigEndian.Uint16(b)), b[2:]
	if length > len(b) {
		return nil, nil, false
	}
	return b[:length], b[length:], true
}
