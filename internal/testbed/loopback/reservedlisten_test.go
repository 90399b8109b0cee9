package loopback

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"testing"

	"glenport/internal/testutil"
)

// A reserved port can be listened on again at once while the process starts children: between fork and exec a child
// holds a copy of the listener that was closed meanwhile.
func TestReservedPortIsListenedOnAgainWhileChildrenStart(t *testing.T) {
	const listens, starters = 500, 4
	port, err := Reserve()
	testutil.NoError(t, err)
	defer port.Release()
	ctx, cancel := context.WithCancel(t.Context())
	var starting sync.WaitGroup
	for range starters {
		starting.Go(func() {
			for ctx.Err() == nil {
				_ = exec.CommandContext(ctx, os.Args[0], "-test.run=^$").Run() // cancel kills the last children
			}
		})
	}
	for range listens {
		listener, err := port.Listen()
		if err != nil {
			t.Error(err)
			break
		}
		CloseQuietly(listener)
	}
	cancel()
	starting.Wait()
}
