package server

import (
	"fmt"

	"glenport/internal/controller"
	"glenport/scheduler"
)

func containerID(job string, index int) string { return fmt.Sprintf("%s.%d", job, index) }

// containerTable holds the containers as last reported by the controller, and publishes them.
type containerTable struct {
	publisher  *publisher
	schedulers schedulerPool
	byID       map[string]controller.Container
}

func newContainerTable(p *publisher, schedulers schedulerPool) *containerTable {
	return &containerTable{publisher: p, schedulers: schedulers, byID: map[string]controller.Container{}}
}

func (t *containerTable) find(id string) (c controller.Container, ok bool) {
	c, ok = t.byID[id]
	return c, ok
}

func (t *containerTable) put(c controller.Container) {
	object := Container{
		ID: containerID(c.Job, c.Index), Job: c.Job, Index: c.Index,
		State: c.State.String(), Terminating: c.Terminating, Machine: c.Machine,
		SinceMS: int64(c.EnteredStateAt / scheduler.Millisecond), UntilMS: int64(c.NextStepAt / scheduler.Millisecond),
		Attempts: c.Attempts, Starts: c.Starts, LastStatus: c.LastStatus,
	}
	if c.Scheduler >= 0 {
		object.Scheduler = t.schedulers[c.Scheduler].name
	}
	t.byID[object.ID] = c
	t.publisher.put(KindContainers, object.ID, object)
}

func (t *containerTable) delete(job string, index int) {
	id := containerID(job, index)
	if _, known := t.byID[id]; known {
		delete(t.byID, id)
		t.publisher.delete(KindContainers, id, Container{ID: id, Job: job, Index: index})
	}
}
