package server

import (
	"glenport/internal/controller"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/storage/wal"
	"glenport/scheduler"
)

// actionBatch is what the controller's actions of one iteration leave to be done.
type actionBatch struct {
	changes  []wal.Change
	durable  bool                // the requests wait until the changes are synced to disk
	requests []controller.Action // to schedulers; sent once the changes are stored
}

// handleEvents passes the events of an iteration to the controller, stores what its actions change, and then carries
// out its requests to schedulers: no request is sent before its record is stored.
func (s *Server) handleEvents() {
	events := s.events
	if len(events) == 0 {
		return
	}
	s.events = nil
	var batch actionBatch
	for _, action := range s.controller.Handle(scheduler.Time(s.loop.Now()), events) {
		s.collect(&batch, action)
	}
	if len(batch.requests) == 0 {
		if len(batch.changes) > 0 {
			s.persist(batch.changes, false, func(error) {}) // the store repeats changes that it could not write
		}
		return
	}
	s.persist(batch.changes, batch.durable, func(err error) {
		for _, request := range batch.requests {
			s.sendRequest(request, err)
		}
	})
}

// collect publishes what an action changes for clients, sets its timer, and adds the rest of it to the batch.
func (s *Server) collect(batch *actionBatch, action controller.Action) {
	switch action := action.(type) {
	case controller.ContainerChanged:
		if s.store != nil {
			batch.changes = append(batch.changes, s.containerChange(action.Container))
		}
		s.publishContainer(action.Container)
	case controller.ContainerRemoved:
		batch.changes = append(
			batch.changes,
			wal.Change{Kind: RecordContainer, Key: containerID(action.Job, action.Index)},
		)
		s.unpublishContainer(action.Job, action.Index)
	case controller.OrphanRecorded:
		record := s.orphanRecord(action.Orphan)
		batch.changes = append(batch.changes, wal.Put(RecordOrphan, record.storeKey(), record))
	case controller.OrphanResolved:
		batch.changes = append(
			batch.changes,
			wal.Change{Kind: RecordOrphan, Key: s.orphanRecord(action.Orphan).storeKey()},
		)
	case controller.SetTimer:
		s.loop.After(eventloop.Tick(action.After), func() { s.events = append(s.events, controller.TimerFired{}) })
	case controller.TransitionRejected:
		s.log.Error("state transition rejected", "error", action.Err)
	case controller.SubmitRequest:
		_, sync := recovery.MustPersist(s.idempotency(action.Spec.WorkloadClass))
		batch.durable = batch.durable || sync
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

// idempotency returns that of a workload class; the most careful one for a class that is not configured.
func (s *Server) idempotency(workloadClass int) scheduler.Idempotency {
	if classes := s.config.SchedulerConfig.Policy.WorkloadClasses; workloadClass >= 0 && workloadClass < len(classes) {
		return classes[workloadClass].Idempotency
	}
	return scheduler.AtMostOnce
}

// sendRequest sends a request to its scheduler. A placement request whose record was not stored is not sent; the
// controller gets it back as refused.
func (s *Server) sendRequest(request controller.Action, storeErr error) {
	switch request := request.(type) {
	case controller.SubmitRequest:
		if storeErr != nil {
			s.events = append(s.events, controller.PlacementAnswered{
				RequestID: request.RequestID, Verdict: controller.VerdictRefused,
				RetryAfter: scheduler.Second, Message: "the ask could not be written down: " + storeErr.Error(),
			})
			return
		}
		spec := containerSpec(request.Spec, request.RequestID, request.IdempotencyKey)
		spec.ClientRetry = request.Retry
		s.schedulers[request.Scheduler].write(
			&protocol.Submit{TimeToDeadline: protocol.Duration(request.Timeout), Spec: spec},
		)
	case controller.LookupRequest:
		s.schedulers[request.Scheduler].write(
			&protocol.Lookup{ContainerID: request.RequestID, IdempotencyKey: request.IdempotencyKey},
		)
	case controller.CancelRequest:
		if request.Scheduler >= 0 {
			s.schedulers[request.Scheduler].write(&protocol.CancelContainer{
				ContainerID:    request.RequestID,
				IdempotencyKey: request.IdempotencyKey,
			})
		}
	}
}

func containerSpec(spec controller.Spec, requestID, idempotencyKey string) protocol.ContainerSpec {
	return protocol.ContainerSpec{
		ContainerID: requestID, IdempotencyKey: idempotencyKey, Service: spec.Service,
		WorkloadClass: spec.WorkloadClass, Tenant: spec.Tenant, Cores: spec.Cores, Memory: spec.Memory,
		ExpectedRuntime: protocol.Duration(spec.RunFor),
	}
}
