package schedulerd

// queueAttempt holds an attempt back until its connection is ready and the log holds it, but no longer than a
// connection may take. The scheduler charges a machine in slow start for an attempt when it decides, and keeps an
// eighth of the slow-start window for the way: attempts that pile up behind a slow connection would arrive together and
// overload the machine.
func (s *Server) queueAttempt(a *attempt) {
	m := a.machine
	m.queued = append(m.queued, a)
	s.adoptions.queued++
	s.loop.After(s.config.ConnectTimeout, func() {
		if m.dequeue(a) {
			s.attemptUnreached(a)
		}
	})
	s.connect(m)
}

// dequeue reports whether the attempt was queued.
func (m *machine) dequeue(a *attempt) bool {
	for i, queued := range m.queued {
		if queued == a {
			m.queued = append(m.queued[:i], m.queued[i+1:]...)
			m.server.adoptions.dequeued(1)
			return true
		}
	}
	return false
}

// sendQueued sends the queued attempts, but for those that still wait for the log. A stale one is not sent: the
// scheduler, which has processed the change by now, decides again.
func (m *machine) sendQueued() {
	if !m.ready {
		return
	}
	for _, a := range append([]*attempt(nil), m.queued...) {
		stale := a.stale() // before dequeue, which clears the adoptions with the last queued attempt
		if a.awaitingLog || !m.dequeue(a) {
			continue
		}
		if stale {
			m.server.attemptNotSent(a)
		} else {
			m.sendOffer(a)
		}
	}
}

// adoptionTracker records whether containers of a service were adopted since a queued attempt was decided. It is
// cleared when no attempt is queued, so that it stays as small as the queues.
type adoptionTracker struct {
	total     int            // adoptions so far
	byService map[string]int // total after the service's last adoption
	queued    int            // attempts that wait for a connection or the log
}

func newAdoptionTracker() adoptionTracker { return adoptionTracker{byService: map[string]int{}} }

func (t *adoptionTracker) adopted(service string) {
	t.total++
	if t.queued > 0 {
		t.byService[service] = t.total
	}
}

func (t *adoptionTracker) since(service string, total int) bool { return t.byService[service] > total }

func (t *adoptionTracker) dequeued(n int) {
	t.queued -= n
	if t.queued == 0 {
		clear(t.byService)
	}
}
