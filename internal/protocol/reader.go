package protocol

import (
	"encoding/binary"
	"io"
)

// maxHello is the limit of the frame size, in bytes, until a Hello has been read: a peer that has not identified itself
// cannot make the reader allocate a larger buffer.
const maxHello = 1 << 10

// Reader splits a stream into frames. The first frame must be a Hello, and no later frame may be one. After the first
// error the reader returns this error only.
type Reader struct {
	MaxSize int // maximum size of a frame in bytes after the length; 0 means MaxFrame

	partial   []byte // bytes of an incomplete frame
	helloSeen bool
	err       error
}

// Feed processes the next bytes of the stream and calls handle for every frame that they complete. An error that handle
// returns ends the reader like an error in the stream.
func (r *Reader) Feed(data []byte, handle func(Frame) error) error {
	if r.err != nil {
		return r.err
	}
	if len(r.partial) > 0 {
		r.partial = append(r.partial, data...)
		data = r.partial
	}
	for {
		f, size, err := r.next(data)
		if err != nil {
			return r.fail(err)
		}
		if f == nil {
			r.partial = append(r.partial[:0], data...)
			return nil
		}
		data = data[size:]
		if err := handle(f); err != nil {
			return r.fail(err)
		}
	}
}

// next decodes the frame at the start of data. It returns the frame and its size including the length prefix, or a nil
// frame if the frame is incomplete.
func (r *Reader) next(data []byte) (f Frame, size int, err error) {
	if len(data) < lengthSize {
		return nil, 0, nil
	}
	length, err := frameLength(data, r.sizeLimit())
	if err != nil {
		return nil, 0, err
	}
	size = lengthSize + length
	if len(data) < size {
		return nil, 0, nil
	}
	f, err = Decode(data[lengthSize:size])
	if err != nil {
		return nil, 0, err
	}
	if _, isHello := f.(*Hello); isHello == r.helloSeen {
		return nil, 0, &OutOfTurnError{Name(f)}
	}
	r.helloSeen = true
	return f, size, nil
}

// frameLength reads the length that precedes a frame and checks it against a limit.
func frameLength(data []byte, limit int) (int, error) {
	length := int(binary.BigEndian.Uint32(data))
	if length > limit {
		return 0, &SizeError{"frame", length, limit}
	}
	return length, nil
}

// Buffered is the number of buffered bytes of an incomplete frame.
func (r *Reader) Buffered() int { return len(r.partial) }

func (r *Reader) sizeLimit() int {
	switch {
	case !r.helloSeen:
		return maxHello
	case r.MaxSize > 0:
		return r.MaxSize
	}
	return MaxFrame
}

func (r *Reader) fail(err error) error {
	r.err, r.partial = err, nil
	return err
}

// ReadFrame reads one frame of at most maxSize bytes after the length from a blocking stream.
func ReadFrame(in io.Reader, maxSize int) (Frame, error) {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		return nil, err
	}
	length, err := frameLength(prefix[:], maxSize)
	if err != nil {
		return nil, err
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(in, data); err != nil {
		return nil, err
	}
	return Decode(data)
}
