package controller

import "fmt"

// requestTable finds the replica that a scheduler's answer is for. Each replica has one open request at most.
type requestTable struct {
	sequence *sequence
	byID     map[string]*replica
}

func newRequestTable(s *sequence) *requestTable {
	return &requestTable{sequence: s, byID: map[string]*replica{}}
}

// find returns the replica of an open request, nil where there is none.
func (t *requestTable) find(requestID string) *replica { return t.byID[requestID] }

// open gives a replica a new request id in place of its last.
func (t *requestTable) open(r *replica) {
	t.close(r)
	r.requestID = fmt.Sprintf("%s/%d#%d", r.job.id, r.index, t.sequence.next())
	t.byID[r.requestID] = r
}

// close has later answers to a replica's request ignored.
func (t *requestTable) close(r *replica) {
	if t.byID[r.requestID] == r {
		delete(t.byID, r.requestID)
	}
}
