package server

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

func TestInvalidFieldIsNamed(t *testing.T) {
	s := openServer(t)
	manyLabels := map[string]string{}
	longLabel := strings.Repeat("v", maxLabelLength+1)
	for i := range maxLabels + 1 {
		manyLabels[fmt.Sprint("key", i)] = "v"
	}
	for _, tc := range []struct {
		name   string
		change func(*Job)
		field  string
	}{
		{"empty ID", func(j *Job) { j.ID = "" }, "id"},
		{"long ID", func(j *Job) { j.ID = strings.Repeat("a", maxIDLength+1) }, "id"},
		{"ID with a capital", func(j *Job) { j.ID = "Reports" }, "id"},
		{"ID with a dot", func(j *Job) { j.ID = "a.b" }, "id"},
		{"no service", func(j *Job) { j.Service = "" }, "service"},
		{"long service", func(j *Job) { j.Service = strings.Repeat("s", maxServiceLength+1) }, "service"},
		{"unknown workload class", func(j *Job) { j.WorkloadClass = "none" }, "workload"},
		{"unknown tenant", func(j *Job) { j.Tenant = "none" }, "customer"},
		{"no cores", func(j *Job) { j.Cores = 0 }, "cores"},
		{"cores not a number", func(j *Job) { j.Cores = math.NaN() }, "cores"},
		{"too many cores", func(j *Job) { j.Cores = maxResource + 1 }, "cores"},
		{"negative memory", func(j *Job) { j.MemoryGiB = -1 }, "memory_gib"},
		{"negative count", func(j *Job) { j.Count = -1 }, "count"},
		{"too high a count", func(j *Job) { j.Count = maxCount + 1 }, "count"},
		{"negative run time", func(j *Job) { j.RunForMS = -1 }, "run_for_ms"},
		{"run time over a year", func(j *Job) { j.RunForMS = maxRunForMS + 1 }, "run_for_ms"},
		{"too many labels", func(j *Job) { j.Labels = manyLabels }, "labels"},
		{"empty label key", func(j *Job) { j.Labels = map[string]string{"": "v"} }, "labels"},
		{"label value with a comma", func(j *Job) { j.Labels = map[string]string{"k": "a,b"} }, "labels"},
		{"long label value", func(j *Job) { j.Labels = map[string]string{"k": longLabel} }, "labels"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job := validJob()
			tc.change(&job)
			var invalid *InvalidFieldError
			if _, err := s.specs.read(&job); !errors.As(err, &invalid) || invalid.Field != tc.field {
				t.Errorf("got %v, want the field %s to be invalid", err, tc.field)
			}
		})
	}
}

func TestSpecHasTheIndexesOfWorkloadClassAndTenant(t *testing.T) {
	s := openServer(t)
	for _, tc := range []struct {
		tenant string
		index  int
	}{{"offices", 0}, {"", 1}} {
		job := validJob()
		job.Tenant, job.RunForMS, job.Labels = tc.tenant, 250, map[string]string{"team": "north"}
		spec, err := s.specs.read(&job)
		testutil.NoError(t, err)
		testutil.Expect(t, spec.Tenant == tc.index && spec.WorkloadClass == 0 && spec.RunFor == 2500,
			"tenant %q: %+v", tc.tenant, spec)
	}
}
