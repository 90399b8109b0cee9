package process

import (
	"net"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

// Tick is the resolution of times in settings files, in frames and in the decisions of schedulers.
const Tick = 100 * time.Microsecond

// DialTimeout bounds the time until a listener accepts a connection.
const DialTimeout = time.Second

// DialProtocol connects to a listener, sends frames and bounds whatever else is done on the connection.
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

// WriteFrames writes frames at once.
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

// ReadUntil skips frames until one of type T.
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
