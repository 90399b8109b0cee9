// Package load measures schedulers, controllers and BGP speakers under a steady load.
package load

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/bench"
	"glenport/internal/testbed/loopback"
	"glenport/internal/testbed/process"
)

// SchedulerMeasurement holds the measurements of a scheduler under load.
type SchedulerMeasurement struct {
	PlacedPerSecond      float64
	P50, P99, P999       float64 // milliseconds from the arrival of a submission to its offer on the socket
	Worst                float64 // milliseconds
	Busy                 float64 // fraction of the time for which the event loop was busy
	DecidingShare        float64 // fraction of the busy time spent on decisions
	DecidingMicroseconds float64 // spent on decisions per submission
	HeapMiB              float64 // live heap at the end
	HeapMiBBefore        float64 // live heap with all connections open, before the first submission
	KnownContainers      float64 // containers that the scheduler knows at the end
	Connections          float64
}

const (
	submitTimeout = protocol.Duration(40000) // 4 s
	replyWait     = time.Second              // wait for replies after the last submission
	loadServices  = 500
)

// Submissions describes the load of a measurement.
type Submissions struct {
	Rate    int // per second
	Length  time.Duration
	Runtime time.Duration // of each container
}

// MeasureScheduler measures one scheduler under a load, with machines that answer at once.
func MeasureScheduler(spec bench.Spec, load Submissions) (*SchedulerMeasurement, error) {
	b, err := bench.Start(spec)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	before, err := b.Scheduler.Status()
	if err != nil {
		return nil, err
	}
	placed, err := submitSteadily(b.Scheduler.Address, load)
	if err != nil {
		return nil, err
	}
	stats, err := b.Scheduler.Status()
	if err != nil {
		return nil, err
	}
	busy := stats["busy"] - before["busy"]
	deciding := stats["deciding"] - before["deciding"]
	return &SchedulerMeasurement{
		PlacedPerSecond:      float64(placed) / load.Length.Seconds(),
		P50:                  stats["placing p50"],
		P99:                  stats["placing p99"],
		P999:                 stats["placing p99.9"],
		Worst:                stats["placing worst"],
		Busy:                 busy / (stats["up"] - before["up"]),
		DecidingShare:        deciding / busy,
		DecidingMicroseconds: deciding / stats["submissions"] * 1e6,
		HeapMiB:              stats["heap live"],
		HeapMiBBefore:        before["heap live"],
		KnownContainers:      stats["containers known"],
		Connections:          stats["connections"],
	}, nil
}

// submitSteadily submits at a constant rate, independent of the replies, and returns the number of placed replies.
func submitSteadily(address string, load Submissions) (int, error) {
	c, err := loopback.Dial(address, process.DialTimeout)
	if err != nil {
		return 0, err
	}
	defer loopback.CloseQuietly(c)
	if err := process.WriteFrames(c, protocol.NewHello(protocol.RoleClient, "load", 1)); err != nil {
		return 0, err
	}
	var placed atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		countPlaced(c, &placed)
	}()
	total := int(float64(load.Rate) * load.Length.Seconds())
	began := time.Now()
	for sent := 0; sent < total; {
		due := min(int(time.Since(began).Seconds()*float64(load.Rate)), total)
		var batch []protocol.Frame
		for ; sent < due; sent++ {
			batch = append(batch, submission(sent, load.Runtime))
		}
		if err := process.WriteFrames(c, batch...); err != nil {
			return 0, err
		}
		time.Sleep(500 * time.Microsecond)
	}
	time.Sleep(replyWait)
	result := int(placed.Load())
	loopback.CloseQuietly(c)
	<-done
	return result, nil
}

func countPlaced(c net.Conn, placed *atomic.Int64) {
	for {
		reply, err := process.ReadUntil[*protocol.PlacementReply](c)
		if err != nil {
			return
		}
		if reply.Verdict == protocol.VerdictPlaced {
			placed.Add(1)
		}
	}
}

func submission(number int, runtime time.Duration) *protocol.Submit {
	id := fmt.Sprint("c", number)
	return &protocol.Submit{TimeToDeadline: submitTimeout, Spec: protocol.ContainerSpec{
		ContainerID:     id,
		IdempotencyKey:  id,
		Service:         fmt.Sprint("s", number%loadServices),
		Cores:           0.5,
		Memory:          1,
		ExpectedRuntime: protocol.Duration(runtime / process.Tick),
	}}
}
