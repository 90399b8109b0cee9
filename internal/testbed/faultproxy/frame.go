package faultproxy

import (
	"encoding/binary"
	"errors"
	"io"
	"net"

	"glenport/internal/protocol"
)

const (
	lengthPrefixSize = 4 // bytes before each frame
	acceptFrameType  = 3 // first byte of an accept frame
)

// rawFrame is an encoded frame: the length prefix and at least one byte of payload.
type rawFrame []byte

func (f rawFrame) payload() []byte { return f[lengthPrefixSize:] }

func (f rawFrame) isAccept() bool { return f[lengthPrefixSize] == acceptFrameType }

var errNoHello = errors.New("the first frame is not a hello")

// readHello reads the first frame of a connection, which must be a hello.
func readHello(conn net.Conn) (rawFrame, *protocol.Hello, error) {
	first, err := readFrame(conn)
	if err != nil {
		return nil, nil, err
	}
	frame, err := protocol.Decode(first.payload())
	if err != nil {
		return nil, nil, err
	}
	hello, ok := frame.(*protocol.Hello)
	if !ok {
		return nil, nil, errNoHello
	}
	return first, hello, nil
}

// readFrame reads a frame without decoding it.
func readFrame(conn net.Conn) (rawFrame, error) {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(conn, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size == 0 || size > protocol.MaxFrame {
		return nil, io.ErrUnexpectedEOF
	}
	frame := make(rawFrame, lengthPrefixSize+size)
	copy(frame, prefix[:])
	if _, err := io.ReadFull(conn, frame.payload()); err != nil {
		return nil, err
	}
	return frame, nil
}
