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

// endOfStream is the position behind all bytes of a stream.
const endOfStream = math.MaxUint64

// tcpEstablished is the state in which the kernel keeps a connection that neither end has closed or reset.
const tcpEstablished = 1

var errNotTCP = errors.New("not a TCP connection")

// arrivals knows until when the parts of a stream had not arrived at its socket, whether anybody read them or not. It
// goes by samples of the kernel's own count, and by nothing else: what no sample shows is not assumed.
type arrivals struct {
	conn syscall.RawConn

	mu      sync.Mutex
	samples []arrivalSample // in order of time; of those up to a position that was asked for the last alone is kept
}

// arrivalSample says that at a moment nothing beyond a position had arrived.
type arrivalSample struct {
	at       time.Time
	position uint64 // endOfStream once the other end has closed or reset the connection
}

// newArrivals takes the first sample of what arrives on a connection.
func newArrivals(conn net.Conn) (*arrivals, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errNotTCP
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	a := &arrivals{conn: raw}
	return a, a.sample()
}

// sample asks the kernel how far the stream has arrived. It fails once this end has closed the connection.
func (a *arrivals) sample() error {
	asked := time.Now()
	position, err := a.position()
	if err == nil {
		a.add(arrivalSample{asked, position})
	}
	return err
}

func (a *arrivals) position() (position uint64, err error) {
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

func (a *arrivals) add(sample arrivalSample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := len(a.samples) - 1; last >= 0 && a.samples[last].position == sample.position {
		a.samples[last] = sample
		return
	}
	a.samples = append(a.samples, sample)
}

// lastAbsent returns the last moment at which the stream is known not to have arrived up to a position; that of the
// first sample where none shows it. Positions are asked for in ascending order.
func (a *arrivals) lastAbsent(position uint64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.samples) > 1 && a.samples[1].position < position {
		a.samples = a.samples[1:]
	}
	return a.samples[0].at
}
