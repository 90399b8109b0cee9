package server

import (
	"glenport/internal/controller"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
)

const (
	explainTimeout = 400 * eventloop.Millisecond // from an explain request to its reply
	explanationTTL = 100 * eventloop.Millisecond // how long a reply is reused for its job
	explainSpecID  = "why"                       // container ID and idempotency key in the spec of an explain request
)

// explainer asks schedulers why a job's containers find no machine. Calls for the same job share one reply while its
// request is open and for explanationTTL after the reply.
type explainer struct {
	loop               *eventloop.Loop
	jobs               *jobRegistry
	schedulers         schedulerPool
	lastSeq            uint64
	openRequests       map[uint64]*explainRequest    // by sequence number; until the reply or explainTimeout
	recentExplanations map[string]*recentExplanation // by job, kept for explanationTTL
}

// explainRequest is a request that a scheduler has not answered yet.
type explainRequest struct {
	job       string
	callbacks []func(*protocol.ExplainReply)
}

// recentExplanation is a reply that may be reused.
type recentExplanation struct {
	receivedAt eventloop.Tick
	reply      *protocol.ExplainReply
}

func newExplainer(loop *eventloop.Loop, jobs *jobRegistry, schedulers schedulerPool) *explainer {
	return &explainer{
		loop: loop, jobs: jobs, schedulers: schedulers,
		openRequests: map[uint64]*explainRequest{}, recentExplanations: map[string]*recentExplanation{},
	}
}

// explain calls done with a scheduler's explanation of why a container is pending. It prefers the scheduler that the
// container was last requested from. It calls done with nil if there is nothing to explain or no scheduler replies in
// time.
func (e *explainer) explain(c controller.Container, done func(*protocol.ExplainReply)) {
	if c.State == controller.StateRunning || c.State == controller.StateCompleted {
		done(nil)
		return
	}
	if r := e.recentExplanations[c.Job]; r != nil && e.loop.Now()-r.receivedAt < explanationTTL {
		done(r.reply)
		return
	}
	for _, request := range e.openRequests {
		if request.job == c.Job {
			request.callbacks = append(request.callbacks, done)
			return
		}
	}
	if !e.request(c, done) {
		done(nil)
	}
}

// request sends an explain request and reports whether it could.
func (e *explainer) request(c controller.Container, done func(*protocol.ExplainReply)) bool {
	job := e.jobs.current(c.Job)
	conn := e.schedulers.connected(c.Scheduler)
	if job == nil || conn == nil {
		return false
	}
	spec, err := e.jobs.specs.read(job)
	if err != nil {
		return false
	}
	e.lastSeq++
	seq := e.lastSeq
	e.openRequests[seq] = &explainRequest{job: c.Job, callbacks: []func(*protocol.ExplainReply){done}}
	e.loop.After(explainTimeout, func() { e.finish(seq, nil) })
	conn.write(&protocol.ExplainRequest{Seq: seq, Spec: containerSpec(spec, explainSpecID, explainSpecID)})
	return true
}

// finish ends an open request with its reply, or with nil at the timeout.
func (e *explainer) finish(seq uint64, reply *protocol.ExplainReply) {
	request := e.openRequests[seq]
	if request == nil {
		return
	}
	delete(e.openRequests, seq)
	if reply != nil && reply.Known {
		e.addRecent(request.job, reply)
	}
	for _, done := range request.callbacks {
		done(reply)
	}
}

func (e *explainer) addRecent(job string, reply *protocol.ExplainReply) {
	e.recentExplanations[job] = &recentExplanation{e.loop.Now(), reply}
	e.loop.After(explanationTTL, func() {
		if r := e.recentExplanations[job]; r != nil && e.loop.Now()-r.receivedAt >= explanationTTL {
			delete(e.recentExplanations, job)
		}
	})
}
