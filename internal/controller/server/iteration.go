package server

import (
	"glenport/internal/controller"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/storage/wal"
	"glenport/scheduler"
)

// actionBatch holds the changes to store and the requests to send that result from the controller's actions of one
// iteration.
type actionBatch struct {
	changes    []wal.Change
	durability durability          // which the changes must reach before the requests are sent
	requests   []controller.Action // to schedulers; sent once the changes are stored
}

func (b *actionBatch) add(change wal.Change) { b.changes = append(b.changes, change) }

// addEvent queues an event for the end of this iteration.
func (s *Server) addEvent(e controller.Event) { s.events = append(s.events, e) }

// handleEvents passes the events of an iteration to the controller, stores the changes that result, and then sends the
// controller's requests to schedulers. No request is sent before its record is stored.
func (s *Server) handleEvents() {
	events := s.events
	if len(events) == 0 {
		return
	}
	s.events = nil
	var batch actionBatch
	for _, action := range s.controller.Handle(scheduler.Time(s.loop.Now()), events) {
		s.applyAction(&batch, action)
	}
	if len(batch.requests) == 0 {
		if len(batch.changes) > 0 {
			// The storage itself retries changes that it could not write.
			s.storage.persist(batch.changes, durabilityWrite, func(error) {})
		}
		return
	}
	s.storage.persist(batch.changes, batch.durability, func(err error) {
		for _, request := range batch.requests {
			s.sendRequest(request, err)
		}
	})
}

// applyAction publishes an action's changes to clients, starts its timer, and adds its records and requests to the
// batch.
func (s *Server) applyAction(batch *actionBatch, action controller.Action) {
	switch action := action.(type) {
	case controller.ContainerChanged:
		batch.add(s.containerChange(action.Container))
		s.containers.put(action.Container)
	case controller.ContainerRemoved:
		batch.add(wal.Change{Kind: RecordContainer, Key: containerID(action.Job, action.Index)})
		s.containers.delete(action.Job, action.Index)
	case controller.OrphanRecorded:
		record := s.orphanRecord(action.Orphan)
		batch.add(wal.Put(RecordOrphan, record.storeKey(), record))
	case controller.OrphanResolved:
		batch.add(wal.Change{Kind: RecordOrphan, Key: s.orphanRecord(action.Orphan).storeKey()})
	case controller.SetTimer:
		s.loop.After(eventloop.Tick(action.After), func() { s.addEvent(controller.TimerFired{}) })
	case controller.TransitionRejected:
		s.log.Error("state transition rejected", "error", action.Err)
	case controller.SubmitRequest:
		if _, sync := recovery.MustPersist(s.idempotency(action.Spec.WorkloadClass)); sync {
			batch.durability = durabilitySync
		}
		batch.requests = append(batch.requests, action)
	default:
		batch.requests = append(batch.requests, action)
	}
}

func (s *Server) containerChange(c controller.Container) wal.Change {
	record := ContainerRecord{Container: c}
	if c.Scheduler >= 0 {
		record.SchedulerAddress = s.schedulers[c.Scheduler].address
	}
	return wal.Put(RecordContainer, containerID(c.Job, c.Index), record)
}

func (s *Server) orphanRecord(o controller.Orphan) OrphanRecord {
	return OrphanRecord{s.schedulers[o.Scheduler].address, o.IdempotencyKey}
}

// idempotency returns the idempotency of a workload class. For a class that is not configured it returns the strictest,
// AtMostOnce.
func (s *Server) idempotency(workloadClass int) scheduler.Idempotency {
	if classes := s.config.SchedulerConfig.Policy.WorkloadClasses; workloadClass >= 0 && workloadClass < len(classes) {
		return classes[workloadClass].Idempotency
	}
	return scheduler.AtMostOnce
}

// sendRequest sends a request to its scheduler. A placement request whose record could not be stored is not sent: the
// controller gets an answer that refuses it.
func (s *Server) sendRequest(request controller.Action, storeErr error) {
	switch request := request.(type) {
	case controller.SubmitRequest:
		s.submit(request, storeErr)
	case controller.LookupRequest:
		frame := &protocol.Lookup{ContainerID: request.RequestID, IdempotencyKey: request.IdempotencyKey}
		s.schedulers[request.Scheduler].write(frame)
	case controller.CancelRequest:
		if request.Scheduler >= 0 {
			frame := &protocol.CancelContainer{ContainerID: request.RequestID, IdempotencyKey: request.IdempotencyKey}
			s.schedulers[request.Scheduler].write(frame)
		}
	}
}

func (s *Server) submit(request controller.SubmitRequest, storeErr error) {
	if storeErr != nil {
		s.addEvent(controller.PlacementAnswered{
			RequestID: request.RequestID, Verdict: controller.VerdictRefused,
			RetryAfter: scheduler.Second, Message: "the request could not be stored: " + storeErr.Error(),
		})
		return
	}
	spec := containerSpec(request.Spec, request.RequestID, request.IdempotencyKey)
	spec.ClientRetry = request.Retry
	frame := &protocol.Submit{TimeToDeadline: protocol.Duration(request.Timeout), Spec: spec}
	s.schedulers[request.Scheduler].write(frame)
}

func containerSpec(spec controller.Spec, requestID, idempotencyKey string) protocol.ContainerSpec {
	return protocol.ContainerSpec{
		ContainerID: requestID, IdempotencyKey: idempotencyKey, Service: spec.Service,
		WorkloadClass: spec.WorkloadClass, Tenant: spec.Tenant, Cores: spec.Cores, Memory: spec.Memory,
		ExpectedRuntime: protocol.Duration(spec.RunFor),
	}
}
