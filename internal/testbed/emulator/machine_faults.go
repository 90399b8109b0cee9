package emulator

// Freeze stops everything that the machine does, until Thaw.
func (m *Machine) Freeze() { m.loop.change(loopWasFrozen) }

// Thaw ends Freeze.
func (m *Machine) Thaw() { m.loop.change(loopWasThawed) }

// SetSlowdown makes everything that the machine does take so many times as long.
func (m *Machine) SetSlowdown(factor float64) { m.do(func() { m.behavior.slowdown = factor }) }

// SetMemoryFactor makes containers use so many times the memory.
func (m *Machine) SetMemoryFactor(factor float64) { m.do(func() { m.behavior.memoryFactor = factor }) }

// IgnoreWorkload leaves offers of a workload class unanswered, until AnswerWorkload.
func (m *Machine) IgnoreWorkload(workload int) {
	m.do(func() { m.behavior.ignoredWorkloads[workload] = true })
}

// AnswerWorkload ends IgnoreWorkload.
func (m *Machine) AnswerWorkload(workload int) {
	m.do(func() { m.behavior.ignoredWorkloads[workload] = false })
}

// ThrottleTenant refuses a tenant's offers without a reason, until AdmitTenant.
func (m *Machine) ThrottleTenant(tenant int) {
	m.do(func() { m.behavior.throttledTenants[tenant] = true })
}

// AdmitTenant ends ThrottleTenant.
func (m *Machine) AdmitTenant(tenant int) {
	m.do(func() { m.behavior.throttledTenants[tenant] = false })
}

// ResetConns resets every connection of the machine.
func (m *Machine) ResetConns() { m.do(m.server.resetAll) }
