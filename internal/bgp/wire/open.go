package wire

import (
	"encoding/binary"
)

const (
	version = 4
	// asTrans replaces an AS number of four octets in the two-octet field (AS_TRANS in RFC 6793).
	asTrans = 23456
	// openFixedLength is the length of an Open's body before its optional parameters.
	openFixedLength = 10
	// parameterCapabilities is the type of the only supported optional parameter (RFC 5492).
	parameterCapabilities = 2
)

// Open is the first message that each side sends on a connection.
type Open struct {
	AS          uint32
	HoldTime    uint16   // seconds
	ID          [4]byte  // the BGP identifier
	Families    []Family // from the multiprotocol capability; empty: IPv4 only
	FourOctetAS bool
	Refresh     bool
	Restart     *GracefulRestart // nil: capability not sent
}

func (*Open) messageType() messageType { return typeOpen }

func (o *Open) appendBody(b []byte) []byte {
	shortAS := uint16(asTrans)
	if o.AS <= 0xFFFF {
		shortAS = uint16(o.AS)
	}
	b = append(b, version)
	b = binary.BigEndian.AppendUint16(b, shortAS)
	b = binary.BigEndian.AppendUint16(b, o.HoldTime)
	b = append(b, o.ID[:]...)
	capabilities := o.appendCapabilities(nil)
	if len(capabilities) == 0 {
		return append(b, 0)
	}
	b = append(b, byte(2+len(capabilities)), parameterCapabilities, byte(len(capabilities)))
	return append(b, capabilities...)
}

func decodeOpen(body []byte) (Message, error) {
	if body[0] != version {
		return nil, newMessageError(CodeOpen, SubcodeUnsupportedVersion, []byte{0, version}, "version %d", body[0])
	}
	o := &Open{
		AS:       uint32(binary.BigEndian.Uint16(body[1:])),
		HoldTime: binary.BigEndian.Uint16(body[3:]),
		ID:       [4]byte(body[5:9]),
	}
	if o.HoldTime == 1 || o.HoldTime == 2 {
		return nil, newMessageError(CodeOpen, SubcodeUnacceptableHoldTime, nil, "hold time of %d s", o.HoldTime)
	}
	if o.ID == ([4]byte{}) {
		return nil, newMessageError(CodeOpen, SubcodeBadIdentifier, nil, "identifier 0.0.0.0")
	}
	length, parameters := int(body[9]), body[openFixedLength:]
	if length != len(parameters) {
		const reason = "optional parameters of %d bytes in %d"
		return nil, newMessageError(CodeOpen, SubcodeUnspecific, nil, reason, length, len(parameters))
	}
	if err := o.decodeParameters(parameters); err != nil {
		return nil, err
	}
	return o, nil
}

func (o *Open) decodeParameters(b []byte) error {
	for len(b) > 0 {
		kind, value, rest, ok := nextTLV(b)
		if !ok {
			return newMessageError(CodeOpen, SubcodeUnspecific, nil, "an optional parameter is truncated")
		}
		if kind != parameterCapabilities {
			return newMessageError(CodeOpen, SubcodeUnsupportedParameter, nil, "optional parameter %d", kind)
		}
		if err := o.decodeCapabilities(value); err != nil {
			return err
		}
		b = rest
	}
	return nil
}

// nextTLV splits off the first value of b, which is preceded by its type and length of one byte each. It returns false
// if b is too short.
func nextTLV(b []byte) (kind byte, value, rest []byte, ok bool) {
	if len(b) < 2 || len(b) < 2+int(b[1]) {
		return 0, nil, nil, false
	}
	end := 2 + int(b[1])
	return b[0], b[2:end], b[end:], true
}
