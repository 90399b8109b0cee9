package server

import "glenport/internal/controller/watchcache"

// publisher applies changes to the cache in the order of their versions. A change whose version is taken before it is
// on disk holds back those behind it, so that clients see no change that is undone and no version out of order.
type publisher struct {
	cache *watchcache.Cache
	queue []*publication
}

// publication is a change of the cache that has its version.
type publication struct {
	object watchcache.Object
	state  publicationState
}

type publicationState uint8

const (
	publicationWaiting publicationState = iota // for the disk
	publicationReady
	publicationDiscarded
)

// put publishes an object that need not be on disk first.
func (p *publisher) put(kind, id string, value any) {
	p.add(&publication{object: watchcache.Object{Kind: kind, ID: id, Value: value}, state: publicationReady})
}

// delete publishes the end of an object that need not be on disk first.
func (p *publisher) delete(kind, id string, value any) {
	object := watchcache.Object{Kind: kind, ID: id, Value: value, Deleted: true}
	p.add(&publication{object: object, state: publicationReady})
}

// add gives a change its version and queues it.
func (p *publisher) add(change *publication) {
	change.object.Version = p.cache.ReserveVersion()
	p.queue = append(p.queue, change)
	p.flush()
}

// release ends the wait of a change that is on disk: it is applied in its turn.
func (p *publisher) release(change *publication) {
	change.state = publicationReady
	p.flush()
}

// discard drops a change that could not be stored. Its version stays a gap.
func (p *publisher) discard(change *publication) {
	change.state = publicationDiscarded
	p.flush()
}

func (p *publisher) flush() {
	for len(p.queue) > 0 && p.queue[0].state != publicationWaiting {
		change := p.queue[0]
		p.queue = p.queue[1:]
		if change.state == publicationReady {
			p.cache.Apply(change.object)
		}
	}
}
