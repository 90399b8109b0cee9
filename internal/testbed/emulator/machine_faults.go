package emulator

// Freeze suspends the machine until Thaw: its connections stay open, and their frames wait.
func (m *Machine) Freeze() { m.loop.change(loopFreezeEvent) }

// Thaw resumes a frozen machine.
func (m *Machine) Thaw() { m.loop.change(loopThawEvent) }

// SetSlowdown multiplies the duration of admissions, starts and probe replies by a factor.
func (m *Machine) SetSlowdown(factor float64) { m.do(func() { m.behavior.slowdown = factor }) }

// SetMemoryFactor multiplies the memory use of the containers by a factor.
func (m *Machine) SetMemoryFactor(factor float64) { m.do(func() { m.behavior.memoryFactor = factor }) }

// IgnoreWorkload leaves offers of a workload class unanswered, until AnswerWorkload.
func (m *Machine) IgnoreWorkload(workload int) {
	m.do(func() { m.behavior.ignoredWorkloads[workload] = true })
}

// AnswerWorkload makes the machine answer offers of a workload class again.
func (m *Machine) AnswerWorkload(workload int) {
	m.do(func() { m.behavior.ignoredWorkloads[workload] = false })
}

// ThrottleTenant rejects the offers of a tenant without giving a reason, until AdmitTenant.
func (m *Machine) ThrottleTenant(tenant int) {
	m.do(func() { m.behavior.throttledTenants[tenant] = true })
}

// AdmitTenant makes the machine examine the offers of a tenant again.
func (m *Machine) AdmitTenant(tenant int) {
	m.do(func() { m.behavior.throttledTenants[tenant] = false })
}

// ResetConns resets every connection of the machine.
func (m *Machine) ResetConns() { m.do(m.server.resetAll) }
