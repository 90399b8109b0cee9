package scheduler

// tenantQuotas counts the cores that own containers reserve for each tenant, beside the tenants' quotas.
type tenantQuotas struct {
	tenants []Tenant
	cores   []float64 // by tenant
}

func newTenantQuotas(tenants []Tenant) *tenantQuotas {
	return &tenantQuotas{tenants: tenants, cores: make([]float64, len(tenants))}
}

// reserve passes over requests without a tenant.
func (q *tenantQuotas) reserve(tenant int, cores float64) {
	if tenant < len(q.cores) {
		q.cores[tenant] += cores
	}
}

func (q *tenantQuotas) release(tenant int, cores float64) {
	if tenant < len(q.cores) {
		q.cores[tenant] -= cores
	}
}

// quotaToUseRatio is a tenant's part of all quotas over its part of own containers' cores: below 1 over its quota.
func (q *tenantQuotas) quotaToUseRatio(tenant int) float64 {
	if tenant >= len(q.cores) || q.cores[tenant] <= 0 {
		return 1
	}
	var quotas, reserved float64
	for i, t := range q.tenants {
		quotas += t.QuotaCores
		reserved += q.cores[i]
	}
	if quotas <= 0 {
		return 1
	}
	return q.tenants[tenant].QuotaCores / quotas / (q.cores[tenant] / reserved)
}
