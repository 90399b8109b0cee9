package schedulerd

import (
	"glenport/internal/machinelist"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// listReceiver applies the updates from the machine list service to the machines and passes them to the scheduler. The
// scheduler decides when the list is fetched.
type listReceiver struct {
	decisions *decisions
	machines  *machineRegistry
}

func (s *Server) newDiscoveryClient() *machinelist.Client {
	return machinelist.NewClient(s.loop, machinelist.Options{
		Address:        s.config.MachineListAddr,
		Hello:          s.hello(),
		MaxOutput:      s.config.MaxOutput,
		ConnectTimeout: s.config.ConnectTimeout,
		SilenceTimeout: s.config.SilenceTimeout,
	}, &listReceiver{decisions: s.decisions, machines: s.machines}, s.log)
}

// ListUpdated implements machinelist.Receiver.
func (r *listReceiver) ListUpdated(update *protocol.MachineListUpdate) {
	mode := scheduler.DeltaUpdate
	if update.FullSnapshot {
		mode = scheduler.FullSnapshot
	}
	r.machines.applyList(mode, update.Version, update.Entries)
}

// ListUpdateFailed implements machinelist.Receiver.
func (r *listReceiver) ListUpdateFailed() {
	r.decisions.notifyScheduler(scheduler.MachineListUpdate{Mode: scheduler.UpdateFailed})
}
