package failuredetector

// Event is something that was observed of a machine.
type Event interface{ event() }

type (
	// RunningCountChanged says how many containers run on a machine now. A machine is monitored while there are any.
	RunningCountChanged struct {
		Machine string
		Count   int
	}

	// ActivityObserved says that a machine is alive: bytes arrived from it, or a connection to it was established.
	ActivityObserved struct{ Machine string }

	// ConnectionRefused says that the address of a machine refused a connection: no process listens there any more.
	ConnectionRefused struct{ Machine string }

	// UnclaimedTermination says that a machine reported the end of a container which no client has requested or
	// reclaimed yet. After a restart of the scheduler, machines report what has ended meanwhile on their first
	// connection, and owners may reclaim it only then.
	UnclaimedTermination struct {
		Machine, RequestID string
		Cause              int
	}

	// ContainerReclaimed says that a client claimed to own a container running on a machine.
	ContainerReclaimed struct{ Machine, RequestID string }

	// Tick says that some time has passed. Time limits are enforced at ticks only.
	Tick struct{}
)

func (RunningCountChanged) event()  {}
func (ActivityObserved) event()     {}
func (ConnectionRefused) event()    {}
func (UnclaimedTermination) event() {}
func (ContainerReclaimed) event()   {}
func (Tick) event()                 {}

// Action is something that the process is to do.
type Action interface{ action() }

type (
	// Connect opens a connection to a machine to see whether it is alive; nothing is sent on it.
	Connect struct{ Machine string }

	// DeclareLost ends every container on a machine.
	DeclareLost struct {
		Machine   string
		SilentFor Time // 0 if it refused a connection
	}

	// ReportTermination ends a container that was reclaimed after its machine had reported its end.
	ReportTermination struct {
		Machine, RequestID string
		Cause              int
	}
)

func (Connect) action()           {}
func (DeclareLost) action()       {}
func (ReportTermination) action() {}
