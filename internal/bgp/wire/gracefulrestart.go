package wire

import (
	"encoding/binary"
)

// Flags and fields of the graceful restart capability.
const (
	flagRestarted           = 0x8000
	maskRestartTime         = 0x0FFF
	flagForwardingPreserved = 0x80
)

// GracefulRestart is the graceful restart capability (RFC 4724).
type GracefulRestart struct {
	Restarted           bool            // the sender has just restarted
	Time                uint16          // seconds for which the routes of the sender may be kept; at most 4095
	ForwardingPreserved map[Family]bool // by family: whether the sender has preserved its forwarding state
}

func (r *GracefulRestart) encode() []byte {
	fields := r.Time & maskRestartTime
	if r.Restarted {
		fields |= flagRestarted
	}
	b := binary.BigEndian.AppendUint16(nil, fields)
	for _, f := range []Family{IPv4, IPv6} {
		preserved, included := r.ForwardingPreserved[f]
		if !included {
			continue
		}
		flags := byte(0)
		if preserved {
			flags = flagForwardingPreserved
		}
		b = append(appendFamily(b, f), safiUnicast, flags)
	}
	return b
}

// decodeGracefulRestart returns false for a value of the wrong length. It omits unsupported families, which could not
// be encoded again.
func decodeGracefulRestart(value []byte) (*GracefulRestart, bool) {
	if len(value) < 2 || (len(value)-2)%4 != 0 {
		return nil, false
	}
	fields := binary.BigEndian.Uint16(value)
	r := &GracefulRestart{
		Restarted:           fields&flagRestarted != 0,
		Time:                fields & maskRestartTime,
		ForwardingPreserved: map[Family]bool{},
	}
	for families := value[2:]; len(families) > 0; families = families[4:] {
		if f := decodeFamily(families); f.supported() {
			r.ForwardingPreserved[f] = families[3]&flagForwardingPreserved != 0
		}
	}
	return r, true
}
