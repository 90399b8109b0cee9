package wire

func (p *PathAttributes) decodeCommunities(value []byte) error {
	if len(value) == 0 || len(value)%4 != 0 {
		return errMalformedAttribute
	}
	p.Communities = append(p.Communities, decodeUint32s(value)...)
	return nil
}

func appendCommunities(b []byte, communities []uint32) []byte {
	return appendAttribute(b, flagOptional|flagTransitive, attributeCommunities, appendUint32s(nil, communities))
}
