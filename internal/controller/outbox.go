package controller

// outbox collects the actions that one call of Handle returns.
type outbox struct {
	actions []Action
	changed []*replica // in the order in which they were marked, without duplicates
	marked  map[*replica]bool
}

func newOutbox() *outbox { return &outbox{marked: map[*replica]bool{}} }

func (o *outbox) emit(a Action) { o.actions = append(o.actions, a) }

// markChanged has the state of a replica emitted at the end of the call.
func (o *outbox) markChanged(r *replica) {
	if !o.marked[r] {
		o.marked[r] = true
		o.changed = append(o.changed, r)
	}
}

// emitChanges emits the records of the marked replicas, except those removed since.
func (o *outbox) emitChanges() {
	for _, r := range o.changed {
		delete(o.marked, r) // clear would take time in proportion to the largest call so far
		if r.state != replicaRemoved {
			o.emit(ContainerChanged{r.record()})
		}
	}
	o.changed = o.changed[:0]
}

// take returns the actions in order and empties the outbox.
func (o *outbox) take() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}
