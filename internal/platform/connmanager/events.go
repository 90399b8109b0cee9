package connmanager

// ClientID identifies a client connection. IDs ascend in the order of connection; 0 means no client.
type ClientID uint64

// Event is an event of a client connection or of a container that a client owns. Events of a client that is not
// connected have no effect.
type Event interface{ event() }

type (
	// ClientConnected reports that a client has connected.
	ClientConnected struct{ Client ClientID }

	// MessageCompleted reports that a message of a client was read completely and that the next one is incomplete. A
	// BytesReceived event follows. If no further message is incomplete, BytesReceived is sent alone.
	MessageCompleted struct{ Client ClientID }

	// BytesReceived reports that bytes were read from a client.
	BytesReceived struct {
		Client  ClientID
		Partial bool // the last message is incomplete
	}

	// PlacementRequested reports that a placement request of a client was admitted and is to be answered.
	PlacementRequested struct{ Client ClientID }

	// MessageSent reports that a message was sent to a client.
	MessageSent struct {
		Client         ClientID
		ClosedRequests int // placement requests that the message answered
	}

	// RequestCancelled reports that a client cancelled a placement request before it was answered.
	RequestCancelled struct{ Client ClientID }

	// InvalidMessageReceived reports that a message of a client was rejected because its contents are invalid.
	InvalidMessageReceived struct{ Client ClientID }

	// OwnershipProven reports that a placement request of a client was accepted: the client owns a running container.
	OwnershipProven struct{ Client ClientID }

	// ContainerReclaimed reports that a client claimed to own a running container. Since any client can claim one, this
	// is weaker evidence than OwnershipProven. After a restart of the scheduler, however, owners send only reclaims at
	// first.
	ContainerReclaimed struct{ Client ClientID }

	// ClientDisconnected reports that the connection of a client has ended.
	ClientDisconnected struct{ Client ClientID }

	// ContainerTerminated reports that a running container has ended. Its owner has to be notified.
	ContainerTerminated struct {
		RequestID string
		Cause     int
		Client    ClientID // the client that requested the container; 0 if that client has disconnected
	}

	// TerminationAcknowledged reports that a client acknowledged a NotifyTermination.
	TerminationAcknowledged struct {
		RequestID string
		Client    ClientID
	}

	// Tick reports that time has passed. Time limits are enforced only at ticks.
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

// Action is an instruction to the process.
type Action interface{ action() }

type (
	// CloseClient closes the connection of a client. A ClientDisconnected event follows.
	CloseClient struct {
		Client ClientID
		Reason CloseReason
	}

	// NotifyTermination notifies a client of the end of a container. Unless a TerminationAcknowledged event follows,
	// other clients are notified as well.
	NotifyTermination struct {
		RequestID string
		Cause     int
		Client    ClientID
	}

	// PauseReading stops reading from a client for a duration.
	PauseReading struct {
		Client   ClientID
		Duration Time
	}

	// ReportError logs an error that indicates a bug in this package. It has no other effect.
	ReportError struct {
		Client ClientID
		Err    error
	}
)

func (CloseClient) action()       {}
func (NotifyTermination) action() {}
func (PauseReading) action()      {}
func (ReportError) action()       {}

// CloseReason is the reason for closing a client, as it is logged.
type CloseReason string

// Reasons for closing a client.
const (
	CloseNoRequest      CloseReason = "no request in time"
	CloseMessageTimeout CloseReason = "incomplete message"
	CloseTooManyClients CloseReason = "too many clients"
)
