package scheduler

// resources are amounts of cores and memory.
type resources struct{ cores, memory float64 }

func (r *resources) add(o resources) {
	r.cores += o.cores
	r.memory += o.memory
}

func (r *resources) subtract(o resources) {
	r.cores -= o.cores
	r.memory -= o.memory
}

// elementwiseMax returns the larger value of each resource.
func (r resources) elementwiseMax(o resources) resources {
	return resources{cores: max(r.cores, o.cores), memory: max(r.memory, o.memory)}
}

// within reports whether neither resource exceeds the limit.
func (r resources) within(limit resources) bool {
	return r.cores <= limit.cores && r.memory <= limit.memory
}
