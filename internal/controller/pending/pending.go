package pending

import (
	"fmt"
	"strings"

	"glenport/internal/controller"
	"glenport/scheduler"
)

// Reason is one reason why a container does not run.
type Reason struct {
	Code    Code               `json:"code"`
	Text    string             `json:"text"`              // for display
	Details map[string]float64 `json:"figures,omitempty"` // the numbers in Text, by name
	EndsAt  scheduler.Time     `json:"-"`                 // when the reason ends; 0: unknown
}

// Zone is the state of a zone according to the machine list.
type Zone struct {
	Name               string
	Machines, Draining int // number of machines, and of those that are draining
}

// Facts holds the information from which the reasons for a container are derived.
type Facts struct {
	Container           controller.Container
	Schedulers          int
	SchedulersConnected int
	SchedulerConnected  bool                  // whether the scheduler of the last request is connected
	HasExplanation      bool                  // a scheduler has provided Explanation and ListAge
	Explanation         scheduler.Explanation // why the machines cannot run the container
	ListAge             scheduler.Time        // age of that scheduler's machine list; negative: it has none
	Zones               []Zone
	SlowStartWindow     scheduler.Time // period after which the slow-start budget of a machine is renewed
}

// Explain returns the reasons in order of rank. A container that runs or is completed has none.
func Explain(now scheduler.Time, facts Facts) []Reason {
	state := facts.Container.State
	if state == controller.StateRunning || state == controller.StateCompleted {
		return nil
	}
	e := &explainer{now: now, facts: &facts}
	e.explainSchedulers()
	e.explainState()
	switch {
	case facts.HasExplanation:
		e.explainFleet()
	case len(e.reasons) == 0:
		e.add(CodeUnknown, nil, textUnknown)
	}
	sortByRank(e.reasons)
	return e.reasons
}

// explainer collects the reasons for one container.
type explainer struct {
	now     scheduler.Time
	facts   *Facts
	reasons []Reason
}

// add adds a reason whose end is unknown.
func (e *explainer) add(code Code, details map[string]float64, format string, a ...any) {
	e.addUntil(code, 0, details, format, a...)
}

func (e *explainer) addUntil(code Code, until scheduler.Time, details map[string]float64, format string, a ...any) {
	e.reasons = append(e.reasons, Reason{Code: code, Text: fmt.Sprintf(format, a...), Details: details, EndsAt: until})
}

// remaining returns the time until the container's next step is due.
func (e *explainer) remaining() scheduler.Time { return max(0, e.facts.Container.NextStepAt-e.now) }

func (e *explainer) explainSchedulers() {
	f := e.facts
	switch {
	case f.SchedulersConnected == 0:
		e.add(CodeNoScheduler, map[string]float64{"placers": float64(f.Schedulers)}, textNoScheduler, f.Schedulers)
	case dependsOnLastScheduler(&f.Container) && !f.SchedulerConnected:
		e.add(CodeSchedulerUnreachable, nil, textSchedulerUnreachable)
	}
}

// dependsOnLastScheduler reports whether the container may be running and only the scheduler of its last request can
// tell.
func dependsOnLastScheduler(c *controller.Container) bool {
	return c.Sticky || c.State == controller.StateUnobserved || c.State == controller.StateFencing
}

// explainState adds the reasons that follow from the controller's state of the container.
func (e *explainer) explainState() {
	c := &e.facts.Container
	switch c.State {
	case controller.StateFencing:
		left := seconds(e.remaining())
		e.addUntil(CodeFencing, c.NextStepAt, map[string]float64{"seconds": left}, textFencing, c.LastStatus, left)
	case controller.StateUnobserved:
		e.addUntil(CodeUnobserved, c.NextStepAt, nil, textUnobserved)
	case controller.StatePlacing:
		age := seconds(e.now - c.EnteredStateAt)
		e.add(CodePlacing, map[string]float64{"seconds": age}, textPlacing, age)
	case controller.StatePending:
		e.explainPending()
	case controller.StateRunning, controller.StateCompleted: // Explain returns no reasons for these
	}
}

func (e *explainer) explainPending() {
	c := &e.facts.Container
	switch {
	case c.WasRefused && outcomeUnknown(c.LastStatus):
		e.addUntil(CodeOutcomeUnknown, c.NextStepAt, nil, textOutcomeUnknown, c.LastStatus)
	case c.WasRefused:
		e.addUntil(CodeRefused, c.NextStepAt, nil, textRefused, c.LastStatus)
	}
	if c.NextStepAt > 0 && c.Attempts > 0 {
		left := seconds(e.remaining())
		details := map[string]float64{"seconds": left, "tries": float64(c.Attempts)}
		e.addUntil(CodeBackingOff, c.NextStepAt, details, textBackingOff, c.LastStatus, c.Attempts, left)
	}
}

// Parts of the messages of a scheduler that does not know yet whether a container runs. They come from
// recovery.MayRunError and recovery.RecoveringError, of which only the text reaches the controller.
const (
	messageMayRun     = "may run on machine"
	messageRecovering = "does not know yet"
)

func outcomeUnknown(status string) bool {
	return strings.Contains(status, messageMayRun) || strings.Contains(status, messageRecovering)
}

func seconds(t scheduler.Time) float64 { return float64(t) / float64(scheduler.Second) }
