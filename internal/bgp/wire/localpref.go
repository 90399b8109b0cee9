package wire

import (
	"encoding/binary"
)

func (p *PathAttributes) decodeLocalPref(value []byte) error {
	if len(value) != 4 {
		return errMalformedAttribute
	}
	p.LocalPref, p.HasLocalPref = binary.BigEndian.Uint32(value), true
	return nil
}

func appendLocalPref(b []byte, preference uint32) []byte {
	return appendAttribute(b, flagTransitive, attributeLocalPref, binary.BigEndian.AppendUint32(nil, preference))
}
