package api

import (
	"net/http"

	"glenport/internal/controller"
	"glenport/internal/controller/pending"
	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
	"glenport/scheduler"
)

// maxExplained is the number of a job's containers that one answer explains.
const maxExplained = 100

// Reason is one reason why a container is pending, as the API shows it.
type Reason struct {
	pending.Reason
	UntilMS int64 `json:"until_ms,omitempty"` // when it ends, Unix time
}

// Explanation is the state of a container and the reasons why it is pending, the weightiest first.
type Explanation struct {
	Container string   `json:"container"`
	State     string   `json:"state"`
	Reasons   []Reason `json:"reasons"`
}

// jobExplanation holds the containers of a job that are pending.
type jobExplanation struct {
	Items []Explanation `json:"items"`
}

func (h *handler) explainContainer(w http.ResponseWriter, r *http.Request) {
	explanation, err := h.explain(r.PathValue("id"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

func (h *handler) explainJob(w http.ResponseWriter, r *http.Request) {
	job := r.PathValue("id")
	if h.server.Cache.Get(server.KindJobs, job) == nil {
		writeError(w, server.ErrNotFound)
		return
	}
	containers, _, _ := h.server.Cache.List(
		server.KindContainers,
		job+".",
		maxExplained,
		func(o *watchcache.Object) bool {
			c := o.Value.(server.Container)
			return c.Job == job && c.State != controller.StateRunning.String() &&
				c.State != controller.StateCompleted.String()
		},
	)
	answer := jobExplanation{Items: []Explanation{}}
	for _, o := range containers {
		explanation, err := h.explain(o.ID)
		if err == nil && len(explanation.Reasons) > 0 { // a container that has ended meanwhile is left out
			answer.Items = append(answer.Items, explanation)
		}
	}
	writeJSON(w, http.StatusOK, answer)
}

func (h *handler) explain(container string) (Explanation, error) {
	reasons, state, err := h.server.PendingReasons(container)
	explanation := Explanation{Container: container, State: state, Reasons: []Reason{}}
	for _, r := range reasons {
		explanation.Reasons = append(
			explanation.Reasons,
			Reason{Reason: r, UntilMS: int64(r.Until / scheduler.Millisecond)},
		)
	}
	return explanation, err
}
