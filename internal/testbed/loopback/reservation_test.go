package loopback

import (
	"strings"
	"testing"

	"glenport/internal/testutil"
)

func TestReservedPortIsExclusive(t *testing.T) {
	port, err := Reserve()
	testutil.NoError(t, err)
	_, number, _ := strings.Cut(port.Address, ":")
	testutil.Expect(t, number >= "20000" && number <= "32767", "port %s is outside the reserved range", number)
	if again, err := tryReserve(port.Address); err == nil {
		again.Release()
		t.Error("a port was reserved twice")
	}
	port.Release()
	again, err := tryReserve(port.Address)
	testutil.Require(t, err == nil, "a released port cannot be reserved: %v", err)
	again.Release()
}
