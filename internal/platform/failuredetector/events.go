package failuredetector

// Event is an observation of a machine or of its containers.
type Event interface{ event() }

type (
	// RunningCountChanged reports the number of containers that run on a machine. A machine is monitored while the
	// number is not 0.
	RunningCountChanged struct {
		Machine string
		Count   int
	}

	// ActivityObserved reports that a machine is alive: bytes arrived from it, or a connection to it was established.
	ActivityObserved struct{ Machine string }

	// ConnectionRefused reports that the address of a machine refused a connection: no process listens there any more.
	ConnectionRefused struct{ Machine string }

	// UnclaimedTermination reports that a machine has reported the end of a container that no client has requested or
	// reclaimed yet. After a restart of the scheduler, each machine reports on its first connection which containers
	// ended in the meantime, and owners may reclaim them only later.
	UnclaimedTermination struct {
		Machine, RequestID string
		Cause              int
	}

	// ContainerReclaimed reports that a client claimed to own a container running on a machine.
	ContainerReclaimed struct{ Machine, RequestID string }

	// Tick reports that time has passed. Time limits are enforced only at ticks.
	Tick struct{}
)

func (RunningCountChanged) event()  {}
func (ActivityObserved) event()     {}
func (ConnectionRefused) event()    {}
func (UnclaimedTermination) event() {}
func (ContainerReclaimed) event()   {}
func (Tick) event()                 {}

// Action is an instruction to the process.
type Action interface{ action() }

type (
	// Connect opens a connection to a machine to check whether it is alive. Nothing is sent on the connection.
	Connect struct{ Machine string }

	// DeclareLost declares a machine lost, which ends every container on it.
	DeclareLost struct {
		Machine   string
		SilentFor Time // 0 if the machine refused a connection
	}

	// ReportTermination reports the end of a container that was reclaimed after its machine had reported the end.
	ReportTermination struct {
		Machine, RequestID string
		Cause              int
	}
)

func (Connect) action()           {}
func (DeclareLost) action()       {}
func (ReportTermination) action() {}
