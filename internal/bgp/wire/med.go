package wire

import (
	"encoding/binary"
)

func (p *PathAttributes) decodeMED(value []byte) error {
	if len(value) != 4 {
		return errMalformedAttribute
	}
	p.MED, p.HasMED = binary.BigEndian.Uint32(value), true
	return nil
}

func appendMED(b []byte, med uint32) []byte {
	return appendAttribute(b, flagOptional, attributeMED, binary.BigEndian.AppendUint32(nil, med))
}
