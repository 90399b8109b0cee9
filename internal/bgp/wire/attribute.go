package wire

import (
	"encoding/binary"
)

type attributeFlags byte

const (
	flagOptional       attributeFlags = 0x80
	flagTransitive     attributeFlags = 0x40
	flagExtendedLength attributeFlags = 0x10
)

type attributeCode byte

const (
	attributeOrigin      attributeCode = 1
	attributeASPath      attributeCode = 2
	attributeNextHop     attributeCode = 3
	attributeMED         attributeCode = 4
	attributeLocalPref   attributeCode = 5
	attributeCommunities attributeCode = 8
	attributeMPReach     attributeCode = 14
	attributeMPUnreach   attributeCode = 15
)

// attribute is an encoded path attribute (RFC 4271, section 4.3).
type attribute struct {
	flags attributeFlags
	code  attributeCode
	value []byte
}

// nextAttribute splits off the first attribute of b. It returns false if b is too short.
func nextAttribute(b []byte) (a attribute, rest []byte, ok bool) {
	if len(b) < 3 {
		return attribute{}, nil, false
	}
	a = attribute{flags: attributeFlags(b[0]), code: attributeCode(b[1])}
	length, start := int(b[2]), 3
	if a.flags&flagExtendedLength != 0 {
		if len(b) < 4 {
			return attribute{}, nil, false
		}
		length, start = int(binary.BigEndian.Uint16(b[2:])), 4
	}
	if len(b) < start+length {
		return attribute{}, nil, false
	}
	a.value = b[start : start+length]
	return a, b[start+length:], true
}

func appendAttribute(b []byte, flags attributeFlags, code attributeCode, value []byte) []byte {
	if len(value) > 0xFF {
		b = append(b, byte(flags|flagExtendedLength), byte(code))
		b = binary.BigEndian.AppendUint16(b, uint16(len(value)))
	} else {
		b = append(b, byte(flags), byte(code), byte(len(value)))
	}
	return append(b, value...)
}

// decodeAttribute decodes one attribute into the update. The error is errMalformedAttribute, or a *MessageError, which
// ends the session. Unknown attributes are ignored.
func (u *Update) decodeAttribute(a attribute) error {
	if a.wellKnown() && a.flags&(flagOptional|flagTransitive) != flagTransitive {
		return errMalformedAttribute
	}
	switch a.code {
	case attributeOrigin:
		return u.Path.decodeOrigin(a.value)
	case attributeASPath:
		return u.Path.decodeASPath(a.value)
	case attributeNextHop:
		return u.Path.decodeNextHop(a.value)
	case attributeMED:
		return u.Path.decodeMED(a.value)
	case attributeLocalPref:
		return u.Path.decodeLocalPref(a.value)
	case attributeCommunities:
		return u.Path.decodeCommunities(a.value)
	case attributeMPReach:
		return u.decodeMPReach(a.value)
	case attributeMPUnreach:
		return u.decodeMPUnreach(a.value)
	}
	return nil
}

// wellKnown reports whether an attribute is well-known and mandatory. The flags of such an attribute are fixed.
func (a attribute) wellKnown() bool { return a.code >= attributeOrigin && a.code <= attributeNextHop }
