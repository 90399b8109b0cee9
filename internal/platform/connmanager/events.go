package connmanager

// ClientID identifies a client connection. IDs ascend in the order in which the clients connected; 0 is none.
type ClientID uint64

// Event is something that happened to a client connection or to a container that a client owns. Events of a client that
// is not connected have no effect.
type Event interface{ event() }

type (
	// ClientConnected says that a client has connected.
	ClientConnected struct{ Client ClientID }

	// MessageCompleted says that a message of a client was read to its end, and that a further one is incomplete.
	// BytesReceived follows, and alone says as much where none is incomplete.
	MessageCompleted struct{ Client ClientID }

	// BytesReceived says that bytes of a client were read.
	BytesReceived struct {
		Client  ClientID
		Partial bool // the last message is incomplete
	}

	// PlacementRequested says that a placement request of a client was admitted and awaits its answer.
	PlacementRequested struct{ Client ClientID }

	// MessageSent says that a message was sent to a client.
	MessageSent struct {
		Client         ClientID
		ClosedRequests int // placement requests that it answered
	}

	// RequestCancelled says that a client cancelled a placement request that awaited its answer.
	RequestCancelled struct{ Client ClientID }

	// InvalidMessageReceived says that a message of a client was rejected since its contents are invalid.
	InvalidMessageReceived struct{ Client ClientID }

	// OwnershipProven says that a placement request of a client was accepted: it owns a running container.
	OwnershipProven struct{ Client ClientID }

	// ContainerReclaimed says that a client claimed to own a running container. Anybody can, so that it is weaker
	// evidence than OwnershipProven; but after a restart of the scheduler, reclaims are all that owners send at first.
	ContainerReclaimed struct{ Client ClientID }

	// ClientDisconnected says that the connection of a client has ended.
	ClientDisconnected struct{ Client ClientID }

	// ContainerTerminated says that a running container has ended, which its owner is to be notified of.
	ContainerTerminated struct {
		RequestID string
		Cause     int
		Client    ClientID // that requested it; 0 if it has disconnected
	}

	// TerminationAcknowledged says that a client confirmed a NotifyTermination.
	TerminationAcknowledged struct {
		RequestID string
		Client    ClientID
	}

	// Tick says that some time has passed. Time limits are enforced at ticks only.
	Tick struct{}
)

func (ClientConnected) event()         {}
func (MessageCompleted) event()        {}
func (BytesReceived) event()           {}
func (PlacementRequested) event()      {}
func (MessageSent) event()             {}
func (RequestCancelled) event()        {}
func (InvalidMessageReceived) event()  {}
func (OwnershipProven) event()         {}
func (ContainerReclaimed) event()      {}
func (ClientDisconnected) event()      {}
func (ContainerTerminated) event()     {}
func (TerminationAcknowledged) event() {}
func (Tick) event()                    {}

// Action is something that the process is to do.
type Action interface{ action() }

type (
	// CloseClient closes the connection of a client. ClientDisconnected follows.
	CloseClient struct {
		Client ClientID
		Reason CloseReason
	}

	// NotifyTermination sends a client the end of a container. Unless TerminationAcknowledged follows, it is repeated
	// to other clients.
	NotifyTermination struct {
		RequestID string
		Cause     int
		Client    ClientID
	}

	// PauseReading leaves the input of a client unread for a while.
	PauseReading struct {
		Client   ClientID
		Duration Time
	}

	// ReportError has an error logged that shows a fault of this package. Nothing else follows from it.
	ReportError struct {
		Client ClientID
		Err    error
	}
)

func (CloseClient) action()       {}
func (NotifyTermination) action() {}
func (PauseReading) action()      {}
func (ReportError) action()       {}

// CloseReason says why a client is closed; it is fit for a log.
type CloseReason string

// Reasons to close a client.
const (
	CloseNoRequest      CloseReason = "no request in time"
	CloseMessageTimeout CloseReason = "incomplete message"
	CloseTooManyClients CloseReason = "too many clients"
)
