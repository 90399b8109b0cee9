package emulator

// startQueue holds the accepted containers that wait to start and limits the number of concurrent starts.
type startQueue struct {
	limit    int
	waiting  []*container
	starting int // number of starts in progress
}

func (q *startQueue) push(c *container) { q.waiting = append(q.waiting, c) }

// next removes the next container to start; ok is false if none waits or the limit of concurrent starts is reached.
func (q *startQueue) next() (c *container, ok bool) {
	for q.starting < q.limit && len(q.waiting) > 0 {
		c, q.waiting = q.waiting[0], q.waiting[1:]
		if !c.hasEnded() {
			q.starting++
			return c, true
		}
	}
	return nil, false
}

// done frees the start slot that next has taken.
func (q *startQueue) done() { q.starting-- }

func (q *startQueue) reset() { q.waiting, q.starting = nil, 0 }

func (q *startQueue) length() int { return len(q.waiting) }
