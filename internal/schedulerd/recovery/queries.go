package recovery

import (
	"slices"

	"glenport/scheduler"
)

// machineQuery is a machine that is still to report what it holds.
type machineQuery struct {
	machine scheduler.MachineID
	dueAt   scheduler.Time
	sent    bool
}

// machineQueries holds the machines that are still to report, in the order they were scheduled.
type machineQueries []*machineQuery

func (q *machineQueries) index(id scheduler.MachineID) int {
	return slices.IndexFunc(*q, func(query *machineQuery) bool { return query.machine == id })
}

func (q *machineQueries) find(id scheduler.MachineID) *machineQuery {
	if i := q.index(id); i >= 0 {
		return (*q)[i]
	}
	return nil
}

func (q *machineQueries) empty() bool { return len(*q) == 0 }

// schedule has a machine connected, and reports whether it was not scheduled before. Where the machine is connected
// already nothing follows: it reports by that connection, or is connected anew when the connection ends.
func (q *machineQueries) schedule(id scheduler.MachineID, dueAt scheduler.Time) bool {
	if q.index(id) >= 0 {
		return false
	}
	*q = append(*q, &machineQuery{machine: id, dueAt: dueAt})
	return true
}

// finish ends the query of a machine that has reported or is gone.
func (q *machineQueries) finish(id scheduler.MachineID) {
	if i := q.index(id); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// reconnect repeats the query of a machine whose connection has ended.
func (q *machineQueries) reconnect(id scheduler.MachineID, dueAt scheduler.Time) {
	if query := q.find(id); query != nil {
		query.sent, query.dueAt = false, dueAt
	}
}

// retry repeats the query of a machine that was not reached. One that was not sent yet keeps its time.
func (q *machineQueries) retry(id scheduler.MachineID, dueAt scheduler.Time) {
	if query := q.find(id); query != nil && query.sent {
		query.sent, query.dueAt = false, dueAt
	}
}

// takeDue marks the queries that are due as sent and returns their machines.
func (q *machineQueries) takeDue(now scheduler.Time) (due []scheduler.MachineID) {
	for _, query := range *q {
		if !query.sent && query.dueAt <= now {
			query.sent = true
			due = append(due, query.machine)
		}
	}
	return due
}

// nextDue returns the earlier of a time, of which 0 is none, and the time of the next query.
func (q *machineQueries) nextDue(next scheduler.Time) scheduler.Time {
	for _, query := range *q {
		if !query.sent && (next == 0 || query.dueAt < next) {
			next = query.dueAt
		}
	}
	return next
}
