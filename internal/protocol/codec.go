package protocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of frames that a side takes, in bytes after the length.
const (
	MaxClientFrame = 64 << 10 // what owners send
	MaxFrame       = 16 << 20 // a list of some 200,000 machines
)

var (
	encoder = must(cbor.EncOptions{}.EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: 64, MaxNestedLevels: 6,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// NewHello is the Hello of a side.
func NewHello(role Role, name string, life uint64) *Hello {
	return &Hello{Magic: magic, Version: Version, Role: role, Name: name, Incarnation: life}
}

// Append writes a frame after b.
func Append(b []byte, f Frame) ([]byte, error) {
	if err := f.validate(); err != nil {
		return b, fmt.Errorf("%T: %w", f, err)
	}
	body, err := encoder.Marshal(f)
	if err != nil {
		return b, fmt.Errorf("%T: %w", f, err)
	}
	if len(body)+1 > MaxFrame {
		return b, fmt.Errorf("%T of %d bytes is over the limit of %d", f, len(body)+1, MaxFrame)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+1))
	return append(append(b, f.kind()), body...), nil
}

// Decode reads one frame without its length.
func Decode(p []byte) (Frame, error) {
	if len(p) == 0 {
		return nil, errors.New("empty frame")
	}
	if int(p[0]) >= len(frameTypes) || frameTypes[p[0]] == nil {
		return nil, fmt.Errorf("unknown sort of frame %d", p[0])
	}
	f := frameTypes[p[0]]()
	if err := decoder.Unmarshal(p[1:], f); err != nil {
		return nil, fmt.Errorf("%T: %w", f, err)
	}
	if err := f.validate(); err != nil {
		return nil, fmt.Errorf("%T: %w", f, err)
	}
	return f, nil
}

// Reader cuts a stream into frames. The first must be a Hello, and no other may be one. A fault ends it.
type Reader struct {
	MaxSize   int // bytes of a frame after its length; 0: MaxFrame
	partial   []byte
	helloSeen bool
	err       error
}

// Feed takes bytes as they come and hands each whole frame to each, which may end it by an error.
func (r *Reader) Feed(p []byte, each func(Frame) error) error {
	if r.err != nil {
		return r.err
	}
	if len(r.partial) > 0 {
		r.partial = append(r.partial, p...)
		p = r.partial
	}
	for {
		size := 0
		if len(p) >= 4 {
			size = int(binary.BigEndian.Uint32(p))
			if most := r.sizeLimit(); size > most {
				return r.fail(fmt.Errorf("frame of %d bytes is over the limit of %d", size, most))
			}
		}
		if len(p) < 4 || len(p) < 4+size {
			r.partial = append(r.partial[:0], p...)
			return nil
		}
		f, err := Decode(p[4 : 4+size])
		if err != nil {
			return r.fail(err)
		}
		if _, hello := f.(*Hello); hello == r.helloSeen {
			return r.fail(fmt.Errorf("%T out of turn", f))
		}
		r.helloSeen = true
		p = p[4+size:]
		if err := each(f); err != nil {
			return r.fail(err)
		}
	}
}

// Buffered tells how many bytes of a frame have come whose rest has not.
func (r *Reader) Buffered() int { return len(r.partial) }

// sizeLimit is small until the greeting has come: a stranger gets no buffer.
func (r *Reader) sizeLimit() int {
	switch {
	case !r.helloSeen:
		return 1 << 10
	case r.MaxSize > 0:
		return r.MaxSize
	}
	return MaxFrame
}

func (r *Reader) fail(err error) error {
	r.err, r.partial = err, nil
	return err
}

// ReadFrame takes one frame from a blocking stream; a side that needs no event loop uses it.
func ReadFrame(in io.Reader, most int) (Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > most {
		return nil, fmt.Errorf("frame of %d bytes is over the limit of %d", size, most)
	}
	p := make([]byte, size)
	if _, err := io.ReadFull(in, p); err != nil {
		return nil, err
	}
	return Decode(p)
}
