package process

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"

	"glenport/internal/testbed/loopback"
)

// The ports that are given to processes lie below those that systems choose from for the local end of a connection
// (32768 and up on Linux, 49152 and up elsewhere), and above those of common services.
const (
	firstPort    = 20000
	lastPort     = 32767
	portAttempts = 200
)

var errNoPort = errors.New("no free port between 20000 and 32767")

// reservedPort is a TCP port on loopback that a process listens on, also when it is started again after a kill. No
// connection takes it meanwhile, as it lies outside the range for these, and no other test bed does, as the UDP port of
// the same number is held for as long as the reservation lasts.
type reservedPort struct {
	address string // of the TCP port
	holder  net.PacketConn
}

// reservePort reserves a port at random that nobody listens on.
func reservePort() (*reservedPort, error) {
	for range portAttempts {
		number := firstPort + rand.IntN(lastPort-firstPort+1)
		port, err := tryToReserve(fmt.Sprintf("127.0.0.1:%d", number))
		if err == nil {
			return port, nil
		}
	}
	return nil, errNoPort
}

func tryToReserve(address string) (*reservedPort, error) {
	holder, err := loopback.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	listener, err := loopback.Listen(address)
	if err != nil {
		loopback.CloseQuietly(holder)
		return nil, err
	}
	loopback.CloseQuietly(listener) // the process opens it
	return &reservedPort{address: address, holder: holder}, nil
}

// release gives the port up, once the process has ended for good.
func (p *reservedPort) release() { loopback.CloseQuietly(p.holder) }
