package schedulerd

import (
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// clientRegistry owns the accepted connections until they are closed.
type clientRegistry struct {
	*process
	decisions   *decisions
	inspector   *inspector
	routes      *routeAnnouncer
	byID        map[reconcile.ClientID]*clientConn
	lastID      reconcile.ClientID
	submittedAt map[scheduler.ContainerID]time.Duration // submission times of the requests of this iteration
}

// accept returns the handler of a new connection and the limit of its pending output in bytes.
func (r *clientRegistry) accept() (handler eventloop.Handler, maxOutput int) {
	r.lastID++
	return &clientConn{
		registry: r, id: r.lastID, state: clientAwaitingHello,
		reader: protocol.Reader{MaxSize: protocol.MaxClientFrame}, name: unknownPeer, acceptedAt: r.loop.Now(),
	}, r.config.MaxOutput
}

func (r *clientRegistry) add(c *clientConn) { r.byID[c.id] = c }

func (r *clientRegistry) remove(c *clientConn) { delete(r.byID, c.id) }

func (r *clientRegistry) count() int { return len(r.byID) }

// find returns nil if the client has disconnected.
func (r *clientRegistry) find(id reconcile.ClientID) *clientConn { return r.byID[id] }

// send sends a frame to a client, if it is still connected.
func (r *clientRegistry) send(id reconcile.ClientID, f protocol.Frame) {
	if client := r.byID[id]; client != nil {
		client.send(f)
	}
}

func (r *clientRegistry) disconnect(action reconcile.CloseClient) {
	if client := r.byID[action.Client]; client != nil {
		client.disconnect(action.Reason.Error())
	}
}

func (r *clientRegistry) checkTimeouts(now eventloop.Tick) {
	for _, client := range r.byID {
		client.checkTimeouts(now)
	}
}

// recordSubmission counts a request and records the time of its submission.
func (r *clientRegistry) recordSubmission(id scheduler.ContainerID) {
	r.stats.countSubmission()
	r.submittedAt[id] = r.loop.Elapsed()
}

func (r *clientRegistry) submissionTime(id scheduler.ContainerID) time.Duration {
	return r.submittedAt[id]
}

// clearSubmissions discards the submission times once all requests of the iteration are admitted or rejected.
func (r *clientRegistry) clearSubmissions() { clear(r.submittedAt) }
