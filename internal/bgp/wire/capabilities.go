package wire

import (
	"encoding/binary"
)

type capabilityCode byte

const (
	capabilityMultiprotocol   capabilityCode = 1  // RFC 4760
	capabilityRouteRefresh    capabilityCode = 2  // RFC 2918
	capabilityGracefulRestart capabilityCode = 64 // RFC 4724
	capabilityFourOctetAS     capabilityCode = 65 // RFC 6793
)

func (o *Open) appendCapabilities(b []byte) []byte {
	for _, f := range o.Families {
		b = append(b, byte(capabilityMultiprotocol), 4)
		b = append(appendFamily(b, f), 0, safiUnicast)
	}
	if o.Refresh {
		b = append(b, byte(capabilityRouteRefresh), 0)
	}
	if o.Restart != nil {
		value := o.Restart.encode()
		b = append(b, byte(capabilityGracefulRestart), byte(len(value)))
		b = append(b, value...)
	}
	if o.FourOctetAS {
		b = append(b, byte(capabilityFourOctetAS), 4)
		b = binary.BigEndian.AppendUint32(b, o.AS)
	}
	return b
}

func (o *Open) decodeCapabilities(b []byte) error {
	for len(b) > 0 {
		code, value, rest, ok := nextTLV(b)
		if !ok {
			return newMessageError(CodeOpen, SubcodeUnspecific, nil, "a capability is truncated")
		}
		if !o.decodeCapability(capabilityCode(code), value) {
			return newMessageError(CodeOpen, SubcodeUnspecific, nil, "capability %d has %d bytes", code, len(value))
		}
		b = rest
	}
	return nil
}

// decodeCapability decodes one capability into the Open. It returns false for a value of the wrong length. Unknown
// capabilities are ignored, as RFC 5492, section 3, requires.
func (o *Open) decodeCapability(code capabilityCode, value []byte) (ok bool) {
	switch code {
	case capabilityMultiprotocol:
		return o.decodeMultiprotocol(value)
	case capabilityRouteRefresh:
		o.Refresh = true
	case capabilityGracefulRestart:
		o.Restart, ok = decodeGracefulRestart(value)
		return ok
	case capabilityFourOctetAS:
		if len(value) != 4 {
			return false
		}
		o.AS, o.FourOctetAS = binary.BigEndian.Uint32(value), true
	}
	return true
}

func (o *Open) decodeMultiprotocol(value []byte) (ok bool) {
	if len(value) != 4 {
		return false
	}
	if f := decodeFamily(value); value[3] == safiUnicast && f.supported() {
		o.Families = append(o.Families, f)
	}
	return true
}
