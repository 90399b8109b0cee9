package protocol

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
)

// Maximum frame sizes that a receiver accepts, in bytes after the length.
const (
	MaxClientFrame = 64 << 10 // from clients
	MaxFrame       = 16 << 20 // fits a list of about 200,000 machines
)

const (
	lengthSize = 4 // bytes of the length that precedes a frame
	kindSize   = 1

	maxElements     = 1 << 20 // maximum length of an array and maximum value of a count
	maxMapPairs     = 64
	maxNestingDepth = 6
)

var (
	encoder = must(cbor.EncOptions{}.EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestingDepth,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// must returns value and panics on an error, which only invalid constants can cause.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Append appends the encoding of a frame, with its length, to data. On an error it returns data unchanged.
func Append(data []byte, f Frame) ([]byte, error) {
	if err := f.validate(); err != nil {
		return data, &FrameError{Name(f), err}
	}
	body, err := encoder.Marshal(f)
	if err != nil {
		return data, &FrameError{Name(f), err}
	}
	size := kindSize + len(body)
	if size > MaxFrame {
		return data, &SizeError{Name(f), size, MaxFrame}
	}
	data = binary.BigEndian.AppendUint32(data, uint32(size))
	return append(append(data, byte(f.kind())), body...), nil
}

// Decode decodes one frame without its length.
func Decode(data []byte) (Frame, error) {
	if len(data) == 0 {
		return nil, ErrEmptyFrame
	}
	f := newFrame(kind(data[0]))
	if f == nil {
		return nil, &UnknownKindError{data[0]}
	}
	if err := decoder.Unmarshal(data[kindSize:], f); err != nil {
		return nil, &FrameError{Name(f), err}
	}
	if err := f.validate(); err != nil {
		return nil, &FrameError{Name(f), err}
	}
	return f, nil
}
