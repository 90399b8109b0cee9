package emulator

import (
	"net"
	"time"

	"glenport/internal/protocol"
)

const (
	maxHelloSize = 1024 // bytes of the first frame of a scheduler
	protocolTick = 100 * time.Microsecond
)

// writeWithin writes data and fails when the other side does not take it in time.
func writeWithin(conn net.Conn, data []byte, limit time.Duration) error {
	if err := conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := conn.Write(data)
	return err
}

// mustEncode encodes a frame that the emulator itself has made; one that cannot be encoded is a programming error.
func mustEncode(buffer []byte, frame protocol.Frame) []byte {
	data, err := protocol.Append(buffer, frame)
	if err != nil {
		panic(err)
	}
	return data
}

func fromProtocol(d protocol.Duration) time.Duration { return time.Duration(d) * protocolTick }

func toProtocol(d time.Duration) protocol.Duration { return protocol.Duration(d / protocolTick) }
