package api

import (
	"net/http"

	"glenport/internal/controller"
	"glenport/internal/controller/pending"
	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
	"glenport/scheduler"
)

// maxExplained is the maximum number of containers explained in one response.
const maxExplained = 100

// Reason is one reason why a container is pending, as the API shows it.
type Reason struct {
	pending.Reason
	UntilMS int64 `json:"until_ms,omitempty"` // Unix time at which the reason ends
}

// Explanation is the state of a container and the reasons why it is pending, the most important first.
type Explanation struct {
	Container string   `json:"container"`
	State     string   `json:"state"`
	Reasons   []Reason `json:"reasons"`
}

// jobExplanation holds the explanations of a job's pending containers.
type jobExplanation struct {
	Items []Explanation `json:"items"`
}

func (h *handler) explainContainer(w http.ResponseWriter, r *http.Request) {
	explanation, err := h.explain(r.PathValue("id"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, explanation)
}

func (h *handler) explainJob(w http.ResponseWriter, r *http.Request) {
	job := r.PathValue("id")
	if h.server.Cache.Get(server.KindJobs, job) == nil {
		writeError(w, server.ErrNotFound)
		return
	}
	pendingContainers := h.server.Cache.List(watchcache.Query{
		Kind: server.KindContainers, After: job + ".", Limit: maxExplained,
		Match: func(o *watchcache.Object) bool { return isPendingContainer(job, o) },
	})
	answer := jobExplanation{Items: []Explanation{}}
	for _, o := range pendingContainers.Objects {
		explanation, err := h.explain(o.ID)
		if err == nil && len(explanation.Reasons) > 0 { // skip a container that has started or ended meanwhile
			answer.Items = append(answer.Items, explanation)
		}
	}
	writeJSON(w, answer)
}

// isPendingContainer reports whether an object is a container of a job that neither runs nor is completed.
func isPendingContainer(job string, o *watchcache.Object) bool {
	c, ok := o.Value.(server.Container)
	return ok && c.Job == job && c.State != controller.StateRunning.String() &&
		c.State != controller.StateCompleted.String()
}

func (h *handler) explain(container string) (Explanation, error) {
	reasons, state, err := h.server.PendingReasons(container)
	explanation := Explanation{Container: container, State: state, Reasons: []Reason{}}
	for _, r := range reasons {
		until := int64(r.EndsAt / scheduler.Millisecond)
		explanation.Reasons = append(explanation.Reasons, Reason{Reason: r, UntilMS: until})
	}
	return explanation, err
}
