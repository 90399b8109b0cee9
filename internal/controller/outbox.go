package controller

// outbox collects the actions that one call of Handle returns.
type outbox struct {
	actions         []Action
	changedReplicas []*replica // in the order in which they were marked, without duplicates
	isMarked        map[*replica]bool
}

func newOutbox() *outbox { return &outbox{isMarked: map[*replica]bool{}} }

func (o *outbox) emit(a Action) { o.actions = append(o.actions, a) }

// markChanged marks a replica, so that its new record is emitted at the end of the call.
func (o *outbox) markChanged(r *replica) {
	if !o.isMarked[r] {
		o.isMarked[r] = true
		o.changedReplicas = append(o.changedReplicas, r)
	}
}

// emitChanges emits the records of the marked replicas, except those removed since.
func (o *outbox) emitChanges() {
	for _, r := range o.changedReplicas {
		delete(o.isMarked, r) // clear would take time in proportion to the largest size of the map so far
		if r.state != replicaRemoved {
			o.emit(ContainerChanged{r.record()})
		}
	}
	o.changedReplicas = o.changedReplicas[:0]
}

// take returns the actions in order and empties the outbox.
func (o *outbox) take() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}
