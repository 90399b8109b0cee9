package emulator

// startQueue has the accepted containers that wait to be started, and bounds how many are started at a time.
type startQueue struct {
	limit    int
	waiting  []*container
	starting int
}

func (q *startQueue) push(c *container) { q.waiting = append(q.waiting, c) }

// next takes a container to be started now; ok is false where none waits or as many as may be are being started.
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

// done notes that a container taken by next is no longer being started.
func (q *startQueue) done() { q.starting-- }

func (q *startQueue) reset() { q.waiting, q.starting = nil, 0 }

func (q *startQueue) length() int { return len(q.waiting) }
