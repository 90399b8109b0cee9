package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports that are given to servers lie below those that systems choose from for the local end of a connection
// (32768 and up on Linux, 49152 and up elsewhere), and above those of common services.
const (
	firstPort    = 20000
	lastPort     = 32767
	portAttempts = 200
)

var errNoPort = errors.New("no free port between 20000 and 32767")

// Reservation is a TCP port on loopback that a server listens on, also when it is started again after a crash. No
// connection takes it meanwhile, as it lies outside the range for these, and no other test bed does, as the UDP port of
// the same number is held for as long as the reservation lasts.
type Reservation struct {
	Address string // of the TCP port
	holder  net.PacketConn
}

// Reserve reserves a port at random that nobody listens on. It fails if none of many is free.
func Reserve() (*Reservation, error) {
	for range portAttempts {
		number := firstPort + rand.IntN(lastPort-firstPort+1)
		port, err := tryToReserve(fmt.Sprintf("127.0.0.1:%d", number))
		if err == nil {
			return port, nil
		}
	}
	return nil, errNoPort
}

func tryToReserve(address string) (*Reservation, error) {
	holder, err := ListenPacket(address)
	if err != nil {
		return nil, err
	}
	listener, err := Listen(address)
	if err != nil {
		CloseQuietly(holder)
		return nil, err
	}
	CloseQuietly(listener) // the server opens it
	return &Reservation{Address: address, holder: holder}, nil
}

// Release gives the port up, once the server has ended for good.
func (r *Reservation) Release() { CloseQuietly(r.holder) }
