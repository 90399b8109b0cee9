package emulator

import (
	"io"
	"net"
	"time"

	"glenport/internal/bgp/wire"
)

const (
	bgpHeaderLength = 19 // bytes
	bgpWriteTimeout = 5 * time.Second
)

// mustEncodeBGP encodes a message of the peer. It panics on an error, which can only be a programming error.
func mustEncodeBGP(message wire.Message) []byte {
	data, err := wire.Append(nil, message)
	if err != nil {
		panic(err)
	}
	return data
}

// writeBestEffort writes to a session. Errors are ignored: the reader of the session sees that it has ended.
func writeBestEffort(conn net.Conn, data []byte) { _ = writeWithTimeout(conn, data, bgpWriteTimeout) }

func sendMessage(conn net.Conn, message wire.Message) { writeBestEffort(conn, mustEncodeBGP(message)) }

// readMessage reads one message and returns it with its size in bytes.
func readMessage(conn net.Conn) (message wire.Message, size int, err error) {
	data := make([]byte, bgpHeaderLength, wire.MaxMessageLength)
	if _, err := io.ReadFull(conn, data); err != nil {
		return nil, 0, err
	}
	size, err = wire.MessageLength(data)
	if err != nil {
		return nil, 0, err
	}
	data = data[:size]
	if _, err := io.ReadFull(conn, data[bgpHeaderLength:]); err != nil {
		return nil, 0, err
	}
	message, err = wire.Decode(data)
	return message, size, err
}
