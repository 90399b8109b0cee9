package emulator

import (
	"time"

	"glenport/internal/protocol"
)

const protocolTick = 100 * time.Microsecond // the unit of protocol.Duration

// mustEncode encodes a frame of the emulator. It panics on an error, which can only be a programming error.
func mustEncode(buffer []byte, frame protocol.Frame) []byte {
	data, err := protocol.Append(buffer, frame)
	if err != nil {
		panic(err)
	}
	return data
}

func fromProtocol(d protocol.Duration) time.Duration { return time.Duration(d) * protocolTick }

func toProtocol(d time.Duration) protocol.Duration { return protocol.Duration(d / protocolTick) }
