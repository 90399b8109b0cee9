package process

import (
	"net"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

// Tick is the resolution of times in settings files, frames and scheduling decisions.
const Tick = 100 * time.Microsecond

// DialTimeout limits the time to open a connection.
const DialTimeout = time.Second

// DialProtocol connects to a listener and sends frames. The timeout limits all later reads and writes as well.
func DialProtocol(address string, timeout time.Duration, frames ...protocol.Frame) (net.Conn, error) {
	c, err := loopback.Dial(address, DialTimeout)
	if err != nil {
		return nil, err
	}
	if err = c.SetDeadline(time.Now().Add(timeout)); err == nil {
		err = WriteFrames(c, frames...)
	}
	if err != nil {
		loopback.CloseQuietly(c)
		return nil, err
	}
	return c, nil
}

// WriteFrames writes frames with a single write.
func WriteFrames(c net.Conn, frames ...protocol.Frame) (err error) {
	var data []byte
	for _, frame := range frames {
		if data, err = protocol.Append(data, frame); err != nil {
			return err
		}
	}
	_, err = c.Write(data)
	return err
}

// ReadUntil reads frames up to the first one of type T and returns this frame.
func ReadUntil[T protocol.Frame](c net.Conn) (T, error) {
	for {
		frame, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if err != nil {
			var none T
			return none, err
		}
		if wanted, ok := frame.(T); ok {
			return wanted, nil
		}
	}
}
