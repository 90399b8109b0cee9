package server

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"glenport/internal/controller"
	"glenport/scheduler"
)

// Limits of a job's fields.
const (
	maxIDLength      = 63
	maxServiceLength = 100
	maxResource      = 1e6 // cores, or GiB of memory
	maxCount         = 100_000
	maxRunForMS      = 365 * 24 * 3600 * 1000
	maxLabels        = 32
	maxLabelLength   = 63
)

func invalidField(field, format string, args ...any) error {
	return &InvalidFieldError{field, fmt.Sprintf(format, args...)}
}

// specReader converts jobs to container specs, in which workload classes and tenants are indexes.
type specReader struct {
	workloadClasses []string
	tenants         []string
}

// read returns the spec of a job's containers, or an *InvalidFieldError for the first invalid field.
func (r specReader) read(job *Job) (controller.Spec, error) {
	spec := controller.Spec{
		Service: job.Service, Cores: job.Cores, Memory: job.MemoryGiB,
		RunFor: scheduler.Time(job.RunForMS) * scheduler.Millisecond, RunOnce: job.RunOnce,
	}
	if !isValidID(job.ID) {
		return spec, invalidField("id", "%q is not 1 to 63 of a to z, 0 to 9 and -", job.ID)
	}
	if job.Service == "" || len(job.Service) > maxServiceLength {
		return spec, invalidField("service", "1 to 100 bytes are wanted")
	}
	if spec.WorkloadClass = slices.Index(r.workloadClasses, job.WorkloadClass); spec.WorkloadClass < 0 {
		return spec, notOneOf("workload", job.WorkloadClass, r.workloadClasses)
	}
	spec.Tenant = len(r.tenants) // index of jobs without a tenant
	if job.Tenant != "" {
		if spec.Tenant = slices.Index(r.tenants, job.Tenant); spec.Tenant < 0 {
			return spec, notOneOf("customer", job.Tenant, r.tenants)
		}
	}
	if err := validateQuantities(job); err != nil {
		return spec, err
	}
	return spec, validateLabels(job.Labels)
}

func notOneOf(field, value string, names []string) error {
	return invalidField(field, "%q is none of %s", value, strings.Join(names, ", "))
}

func isValidID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, r := range id {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

func validateQuantities(job *Job) error {
	switch {
	case !isValidResource(job.Cores):
		return invalidField("cores", "%g is not above 0", job.Cores)
	case !isValidResource(job.MemoryGiB):
		return invalidField("memory_gib", "%g is not above 0", job.MemoryGiB)
	case job.Count < 0 || job.Count > maxCount:
		return invalidField("count", "%d is not from 0 to 100000", job.Count)
	case job.RunForMS < 0 || job.RunForMS > maxRunForMS:
		return invalidField("run_for_ms", "%d is not from 0 to a year", job.RunForMS)
	}
	return nil
}

// isValidResource reports whether an amount is in range. It is false for NaN, as all comparisons with NaN are.
func isValidResource(amount float64) bool { return amount > 0 && amount <= maxResource }

func validateLabels(labels map[string]string) error {
	if len(labels) > maxLabels {
		return invalidField("labels", "%d are more than 32", len(labels))
	}
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		value := labels[key]
		if key == "" || len(key) > maxLabelLength || len(value) > maxLabelLength ||
			strings.ContainsAny(key+value, "=,") {
			return invalidField("labels", "%q: keys and values have up to 63 bytes, no = and no comma", key)
		}
	}
	return nil
}
