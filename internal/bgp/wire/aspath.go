package wire

import (
	"encoding/binary"
)

// Types of AS path segments: AS_SET to AS_CONFED_SET (RFC 4271, section 4.3; RFC 5065, section 3).
const (
	segmentSequence  = 2
	minSegmentType   = 1
	maxSegmentType   = 4
	maxSegmentLength = 255 // AS numbers
	asNumberLength   = 4   // bytes, on sessions with four-octet AS numbers
)

// decodeASPath appends the AS numbers of all segments, regardless of their type.
func (p *PathAttributes) decodeASPath(value []byte) error {
	for len(value) > 0 {
		if len(value) < 2 || value[0] < minSegmentType || value[0] > maxSegmentType || value[1] == 0 {
			return errMalformedAttribute
		}
		end := 2 + asNumberLength*int(value[1])
		if len(value) < end {
			return errMalformedAttribute
		}
		p.ASPath = append(p.ASPath, decodeUint32s(value[2:end])...)
		value = value[end:]
	}
	return nil
}

func appendASPath(b []byte, path []uint32) []byte {
	var value []byte
	for start := 0; start < len(path); start += maxSegmentLength {
		segment := path[start:min(start+maxSegmentLength, len(path))]
		value = append(value, segmentSequence, byte(len(segment)))
		value = appendUint32s(value, segment)
	}
	return appendAttribute(b, flagTransitive, attributeASPath, value)
}

// decodeUint32s decodes numbers of four bytes each. The length of b must be a multiple of four.
func decodeUint32s(b []byte) []uint32 {
	numbers := make([]uint32, 0, len(b)/4)
	for ; len(b) > 0; b = b[4:] {
		numbers = append(numbers, binary.BigEndian.Uint32(b))
	}
	return numbers
}

func appendUint32s(b []byte, numbers []uint32) []byte {
	for _, n := range numbers {
		b = binary.BigEndian.AppendUint32(b, n)
	}
	return b
}
