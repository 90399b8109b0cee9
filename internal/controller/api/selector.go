package api

import (
	"strconv"
	"strings"

	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
)

// selectableFields lists the field names that a selector may use, by kind. fieldsOf returns their values.
var selectableFields = map[string]string{
	server.KindJobs:       "id service workload customer count",
	server.KindContainers: "id job state machine placer leaving",
	server.KindMachines:   "id hall kind state",
}

// selector selects objects by the terms of a list query. An object must match all terms.
type selector struct {
	fields []fieldTerm
	labels []labelTerm
}

// fieldTerm is name=value, or name!=value if negated.
type fieldTerm struct {
	name, value string
	negated     bool
}

// labelTerm is key=value. Only jobs have labels.
type labelTerm struct{ key, value string }

// parseSelector parses comma-separated terms: on fields such as "a=b,c!=d", and on labels such as "k=v".
func parseSelector(kind, labels, fields string) (*selector, error) {
	s := &selector{}
	for _, text := range splitList(fields) {
		term, err := parseFieldTerm(kind, text)
		if err != nil {
			return nil, err
		}
		s.fields = append(s.fields, term)
	}
	for _, text := range splitList(labels) {
		key, value, ok := strings.Cut(text, "=")
		if !ok || key == "" {
			return nil, invalidField("label", "%q is no term such as key=value", text)
		}
		s.labels = append(s.labels, labelTerm{key, value})
	}
	return s, nil
}

func parseFieldTerm(kind, text string) (fieldTerm, error) {
	name, value, ok := strings.Cut(text, "=")
	name, negated := strings.CutSuffix(name, "!")
	known := selectableFields[kind]
	if !ok || name == "" || !strings.Contains(" "+known+" ", " "+name+" ") {
		return fieldTerm{}, invalidField("field", "%q is no term such as name=value, with a name of %s", text, known)
	}
	return fieldTerm{name, value, negated}, nil
}

func (s *selector) matches(o *watchcache.Object) bool {
	return s.matchesFields(o.Value) && s.matchesLabels(o.Value)
}

func (s *selector) matchesFields(value any) bool {
	if len(s.fields) == 0 {
		return true
	}
	fields := fieldsOf(value)
	for _, term := range s.fields {
		if (fields[term.name] == term.value) == term.negated {
			return false
		}
	}
	return true
}

func (s *selector) matchesLabels(value any) bool {
	for _, term := range s.labels {
		if job, ok := value.(server.Job); !ok || job.Labels[term.key] != term.value {
			return false
		}
	}
	return true
}

// fieldsOf returns the values of an object's selectable fields.
func fieldsOf(value any) map[string]string {
	switch v := value.(type) {
	case server.Job:
		return map[string]string{
			"id": v.ID, "service": v.Service, "workload": v.WorkloadClass, "customer": v.Tenant,
			"count": strconv.Itoa(v.Count),
		}
	case server.Container:
		return map[string]string{
			"id": v.ID, "job": v.Job, "state": v.State, "machine": v.Machine, "placer": v.Scheduler,
			"leaving": strconv.FormatBool(v.Terminating),
		}
	case server.Machine:
		return map[string]string{"id": v.ID, "hall": strconv.Itoa(v.Zone), "kind": v.MachineType, "state": v.State}
	}
	return nil
}

// splitList splits a comma-separated list. An empty text is an empty list.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
