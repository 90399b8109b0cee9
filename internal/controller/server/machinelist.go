package server

import (
	"glenport/internal/eventloop"
	"glenport/internal/machinelist"
	"glenport/internal/protocol"
)

const (
	machineListRetryDelay    = 500 * eventloop.Millisecond // between a failed watch and the next
	machineListCheckInterval = 500 * eventloop.Millisecond
)

// machineListWatch watches the machine list and updates the published machines. It restarts the watch after a failure.
type machineListWatch struct {
	loop           *eventloop.Loop
	machines       *machineTable
	client         *machinelist.Client
	retryScheduled bool
}

func (s *Server) newMachineListWatch() *machineListWatch {
	w := &machineListWatch{loop: s.loop, machines: s.machines}
	w.client = machinelist.NewClient(s.loop, machinelist.Options{
		Address:        s.config.MachineList,
		Hello:          protocol.NewHello(protocol.RoleScheduler, s.config.Name, uint64(s.loop.Now())),
		MaxOutput:      maxOutput,
		ConnectTimeout: dialTimeout,
		SilenceTimeout: s.config.SchedulerConfig.SilenceTimeout,
	}, w, s.log)
	return w
}

// start watches the machine list until the event loop ends.
func (w *machineListWatch) start() {
	w.client.Watch(true)
	w.checkTimeouts()
}

func (w *machineListWatch) checkTimeouts() {
	w.client.CheckTimeouts(w.loop.Now())
	w.loop.After(machineListCheckInterval, w.checkTimeouts)
}

// ListUpdated implements machinelist.Receiver.
func (w *machineListWatch) ListUpdated(update *protocol.MachineListUpdate) { w.machines.apply(update) }

// ListUpdateFailed implements machinelist.Receiver.
func (w *machineListWatch) ListUpdateFailed() {
	if w.retryScheduled {
		return
	}
	w.retryScheduled = true
	w.loop.After(machineListRetryDelay, func() {
		w.retryScheduled = false
		w.client.Watch(true)
	})
}
