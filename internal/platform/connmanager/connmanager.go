package connmanager

// Time is a clock reading or a duration, in tenths of a millisecond.
type Time int64

// Units of Time.
const (
	Millisecond Time = 10
	Second      Time = 10_000
)

// reservedDescriptors is the number of file descriptors that are not available to client and machine connections. They
// serve the event queues, the Go runtime, the log, the listener, one open file, the discovery watch (two connections
// while it switches servers) and bursts.
const reservedDescriptors = 32

// Manager owns the state of each client connection until the client disconnects. It also owns the terminations that no
// client has acknowledged, each for at most notificationTTL.
type Manager struct {
	maxClients    int
	clients       map[ClientID]*client
	activeClients int            // clients that are not closing
	terminations  []*termination // in the order in which the containers ended

	actions []Action // collected for the current batch of events
}

// New returns the manager of a scheduler that may have the given number of file descriptors open.
func New(descriptors int) *Manager {
	return &Manager{maxClients: maxClientConns(descriptors), clients: map[ClientID]*client{}}
}

// Handle processes a batch of events that occurred at or before now. It returns the actions to carry out, in order.
func (m *Manager) Handle(now Time, events []Event) []Action {
	m.actions = nil
	for _, event := range events {
		m.handleEvent(now, event)
	}
	return m.actions
}

func (m *Manager) handleEvent(now Time, event Event) {
	switch e := event.(type) {
	case ClientConnected:
		m.clientConnected(now, e)
	case MessageCompleted:
		m.messageCompleted(e)
	case BytesReceived:
		m.bytesReceived(now, e)
	case PlacementRequested:
		m.placementRequested(e)
	case MessageSent:
		m.messageSent(now, e)
	case RequestCancelled:
		m.requestCancelled(e)
	case InvalidMessageReceived:
		m.invalidMessageReceived(e)
	case OwnershipProven:
		m.ownershipProven(e)
	case ContainerReclaimed:
		m.containerReclaimed(e)
	case ClientDisconnected:
		m.clientDisconnected(now, e)
	case ContainerTerminated:
		m.containerTerminated(now, e)
	case TerminationAcknowledged:
		m.terminationAcknowledged(e)
	case Tick:
		m.tick(now)
	}
}

// tick enforces the time limits of notifications, and then the time limits of clients.
func (m *Manager) tick(now Time) {
	m.retryNotifications(now)
	m.closeTimedOutClients(now)
}

func (m *Manager) emit(action Action) { m.actions = append(m.actions, action) }
