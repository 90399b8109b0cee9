package recovery

import (
	"slices"

	"glenport/scheduler"
)

// machineQuery is a query to a machine that has yet to report the attempts it holds.
type machineQuery struct {
	machine scheduler.MachineID
	dueAt   scheduler.Time
	sent    bool
}

// machineQueries holds the queries to the machines that have yet to report, in the order they were scheduled.
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

// schedule adds a query to a machine, and reports whether the machine had none. A query to a machine that is connected
// already does nothing: the machine reports over that connection, or the query is repeated when the connection ends.
func (q *machineQueries) schedule(id scheduler.MachineID, dueAt scheduler.Time) bool {
	if q.index(id) >= 0 {
		return false
	}
	*q = append(*q, &machineQuery{machine: id, dueAt: dueAt})
	return true
}

// finish removes the query to a machine that has reported or has left the machine list.
func (q *machineQueries) finish(id scheduler.MachineID) {
	if i := q.index(id); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// reconnect repeats the query to a machine whose connection has ended.
func (q *machineQueries) reconnect(id scheduler.MachineID, dueAt scheduler.Time) {
	if query := q.find(id); query != nil {
		query.sent, query.dueAt = false, dueAt
	}
}

// retry repeats the query to a machine that could not be connected. A query that is yet to be sent keeps its time.
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

// nextDue returns the earlier of the time next and the time of the next query, where 0 stands for no time.
func (q *machineQueries) nextDue(next scheduler.Time) scheduler.Time {
	for _, query := range *q {
		if !query.sent && (next == 0 || query.dueAt < next) {
			next = query.dueAt
		}
	}
	return next
}
