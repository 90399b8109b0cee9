package controller

import "fmt"

// requestTable maps the ids of open requests to the replicas that they are for. A replica has one open request at most.
type requestTable struct {
	sequence *sequence
	byID     map[string]*replica
}

func newRequestTable(s *sequence) *requestTable {
	return &requestTable{sequence: s, byID: map[string]*replica{}}
}

// find returns the replica of an open request, or nil if there is no such request.
func (t *requestTable) find(requestID string) *replica { return t.byID[requestID] }

// open gives a replica a new request id, which replaces its previous one.
func (t *requestTable) open(r *replica) {
	t.close(r)
	r.requestID = fmt.Sprintf("%s/%d#%d", r.job.id, r.index, t.sequence.next())
	t.byID[r.requestID] = r
}

// close drops the open request of a replica. Later answers to it are ignored.
func (t *requestTable) close(r *replica) {
	if t.byID[r.requestID] == r {
		delete(t.byID, r.requestID)
	}
}
