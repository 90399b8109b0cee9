package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Server ports are chosen below the ephemeral port range (from 32768 on Linux, from 49152 elsewhere) and above the
// ports of common services.
const (
	firstPort    = 20000
	lastPort     = 32767
	portAttempts = 200
)

var errNoPort = errors.New("no free port between 20000 and 32767")

// Reservation reserves a TCP port on loopback for a server, also while it restarts after a crash. Outgoing connections
// cannot take the port, as it is outside the ephemeral range. Other test beds cannot either, as the reservation holds
// the UDP port of the same number.
type Reservation struct {
	Address   string // of the TCP port
	udpSocket net.PacketConn
}

// Reserve reserves a random free port. It fails if no attempt finds one.
func Reserve() (*Reservation, error) {
	for range portAttempts {
		number := firstPort + rand.IntN(lastPort-firstPort+1)
		port, err := tryReserve(fmt.Sprintf("127.0.0.1:%d", number))
		if err == nil {
			return port, nil
		}
	}
	return nil, errNoPort
}

func tryReserve(address string) (*Reservation, error) {
	udpSocket, err := ListenPacket(address)
	if err != nil {
		return nil, err
	}
	listener, err := Listen(address)
	if err != nil {
		CloseQuietly(udpSocket)
		return nil, err
	}
	CloseQuietly(listener) // only checks that the TCP port is free
	return &Reservation{Address: address, udpSocket: udpSocket}, nil
}

// Release frees the port.
func (r *Reservation) Release() { CloseQuietly(r.udpSocket) }
