package platform

import (
	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// clientRegistry holds the client connections that have not ended.
type clientRegistry struct {
	env             *environment
	containers      *containerRegistry
	shutdown        *shutdownSequence
	conns           map[connmanager.ClientID]*clientConn
	unreportedConns []*clientConn // opened in this iteration
	lastID          connmanager.ClientID
}

func newClientRegistry(env *environment, containers *containerRegistry, shutdown *shutdownSequence) *clientRegistry {
	return &clientRegistry{
		env:        env,
		containers: containers,
		shutdown:   shutdown,
		conns:      map[connmanager.ClientID]*clientConn{},
	}
}

// accept returns the handler of a new client connection and the limit of its pending output.
func (r *clientRegistry) accept() (eventloop.Handler, int) {
	r.lastID++
	return &clientConn{
		env:        r.env,
		registry:   r,
		containers: r.containers,
		shutdown:   r.shutdown,
		id:         r.lastID,
		state:      clientAccepted,
		lines:      jsonlines.LineSplitter{MaxBytes: jsonlines.MaxLineBytes},
	}, clientOutputLimit
}

func (r *clientRegistry) add(cc *clientConn) {
	r.conns[cc.id] = cc
	r.unreportedConns = append(r.unreportedConns, cc)
}

// reportOpened reports the connections opened in this iteration, after all input of the iteration is read. The
// connection manager may close idle clients to make room for new connections, and it must not close a client whose
// request has just been read.
func (r *clientRegistry) reportOpened() {
	for _, cc := range r.unreportedConns {
		if r.conns[cc.id] == cc {
			r.env.notifyConnManager(connmanager.ClientConnected{Client: cc.id})
		}
	}
	r.unreportedConns = nil
}

func (r *clientRegistry) remove(cc *clientConn) { delete(r.conns, cc.id) }

// closeConn closes a client connection that is unused or has to make room for another one.
func (r *clientRegistry) closeConn(action connmanager.CloseClient) {
	if cc := r.conns[action.Client]; cc != nil {
		r.env.log.Debug("client connection closed", "client", cc.id, "reason", action.Reason)
		cc.close()
	}
}

// notifyTermination notifies a client of the end of a container.
func (r *clientRegistry) notifyTermination(action connmanager.NotifyTermination) {
	if cc := r.conns[action.Client]; cc != nil {
		cc.send(terminationMessage(scheduler.ContainerID(action.RequestID), terminationCause(action.Cause)))
	}
}

// pauseReading stops reading from a client for some time.
func (r *clientRegistry) pauseReading(action connmanager.PauseReading) {
	if cc := r.conns[action.Client]; cc != nil {
		cc.pauseReading(eventloop.Tick(action.Duration))
	}
}
