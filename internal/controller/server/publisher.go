package server

import "glenport/internal/controller/watchcache"

// publisher applies changes to the cache in the order of their versions. A change that is not on disk yet holds back
// all later changes, so that clients see no change that is not stored and no version out of order.
type publisher struct {
	cache *watchcache.Cache
	queue []*publication
}

// publication is a change of the cache with its version assigned.
type publication struct {
	object watchcache.Object
	state  publicationState
}

type publicationState uint8

const (
	publicationWaiting publicationState = iota // until the change is on disk
	publicationReady
	publicationDiscarded
)

// put publishes the new value of an object without waiting for the disk.
func (p *publisher) put(kind, id string, value any) {
	p.add(&publication{object: watchcache.Object{Kind: kind, ID: id, Value: value}, state: publicationReady})
}

// delete publishes the deletion of an object without waiting for the disk.
func (p *publisher) delete(kind, id string, value any) {
	object := watchcache.Object{Kind: kind, ID: id, Value: value, Deleted: true}
	p.add(&publication{object: object, state: publicationReady})
}

// add assigns a version to a change and queues the change.
func (p *publisher) add(change *publication) {
	change.object.Version = p.cache.ReserveVersion()
	p.queue = append(p.queue, change)
	p.flush()
}

// release marks a change as stored on disk. It is applied once all changes before it are applied or discarded.
func (p *publisher) release(change *publication) {
	change.state = publicationReady
	p.flush()
}

// discard drops a change that could not be stored. Its version is left as a gap.
func (p *publisher) discard(change *publication) {
	change.state = publicationDiscarded
	p.flush()
}

// flush applies changes from the head of the queue up to the first that is not on disk.
func (p *publisher) flush() {
	for len(p.queue) > 0 && p.queue[0].state != publicationWaiting {
		change := p.queue[0]
		p.queue = p.queue[1:]
		if change.state == publicationReady {
			p.cache.Apply(change.object)
		}
	}
}
