package wire

// maxOrigin is the highest ORIGIN: IGP, EGP and INCOMPLETE are 0 to 2.
const maxOrigin = 2

func (p *PathAttributes) decodeOrigin(value []byte) error {
	if len(value) != 1 || value[0] > maxOrigin {
		return errMalformedAttribute
	}
	p.Origin = value[0]
	return nil
}

func appendOrigin(b []byte, origin uint8) []byte {
	return appendAttribute(b, flagTransitive, attributeOrigin, []byte{origin})
}
