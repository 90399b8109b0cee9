package faultproxy

import (
	"errors"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// endOfStream is a position after all bytes of a stream.
const endOfStream = math.MaxUint64

// tcpEstablished is the kernel's TCP state of a connection that neither end has closed or reset.
const tcpEstablished = 1

var errNotTCP = errors.New("not a TCP connection")

// arrivalTracker tracks when the bytes of a stream arrive at its socket, whether they have been read or not. It samples
// the kernel's count of received bytes and relies on the samples alone.
type arrivalTracker struct {
	conn syscall.RawConn

	mu      sync.Mutex
	samples []arrivalSample // in order of time; lastSampleBefore drops samples that are no longer needed
}

// arrivalSample records that no byte after position had arrived at the time at.
type arrivalSample struct {
	at       time.Time
	position uint64 // endOfStream if the other end has closed or reset the connection
}

// newArrivalTracker takes the first sample of a connection.
func newArrivalTracker(conn net.Conn) (*arrivalTracker, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errNotTCP
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	a := &arrivalTracker{conn: raw}
	return a, a.sample()
}

// sample reads the current position of the stream. It fails if this end has closed the connection.
func (a *arrivalTracker) sample() error {
	askedAt := time.Now()
	position, err := a.position()
	if err == nil {
		a.add(arrivalSample{askedAt, position})
	}
	return err
}

// position reads the number of received bytes from the kernel.
func (a *arrivalTracker) position() (position uint64, err error) {
	controlErr := a.conn.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			return
		}
		position = info.Bytes_received
		if info.State != tcpEstablished {
			position = endOfStream
		}
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return position, err
}

func (a *arrivalTracker) add(sample arrivalSample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := len(a.samples) - 1; last >= 0 && a.samples[last].position == sample.position {
		a.samples[last] = sample
		return
	}
	a.samples = append(a.samples, sample)
}

// lastSampleBefore returns the time of the last sample at which the stream had not reached a position, or of the first
// kept sample if there is none. Calls must pass ascending positions.
func (a *arrivalTracker) lastSampleBefore(position uint64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.samples) > 1 && a.samples[1].position < position {
		a.samples = a.samples[1:]
	}
	return a.samples[0].at
}
