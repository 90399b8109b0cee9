package emulator

// SetFrozen stops everything that the machine does, or lets it go on.
func (m *Machine) SetFrozen(frozen bool) { m.loop.change(freezeEvents[frozen]) }

// SetSlowdown makes everything that the machine does take so many times as long.
func (m *Machine) SetSlowdown(factor float64) { m.do(func() { m.behavior.slowdown = factor }) }

// SetMemoryFactor makes containers use so many times the memory.
func (m *Machine) SetMemoryFactor(factor float64) { m.do(func() { m.behavior.memoryFactor = factor }) }

// SetIgnoredWorkload leaves offers of a workload class unanswered, or answers them again.
func (m *Machine) SetIgnoredWorkload(workload int, ignored bool) {
	m.do(func() { m.behavior.ignoredWorkloads[workload] = ignored })
}

// SetThrottledTenant refuses a tenant's offers without a reason, or examines them again.
func (m *Machine) SetThrottledTenant(tenant int, throttled bool) {
	m.do(func() { m.behavior.throttledTenants[tenant] = throttled })
}

// ResetConns resets every connection of the machine.
func (m *Machine) ResetConns() { m.do(m.server.resetAll) }
