package scheduler

// tenantQuotas holds the tenants' quotas and counts the cores that this scheduler's containers reserve for each tenant.
type tenantQuotas struct {
	tenants []Tenant
	cores   []float64 // reserved cores, by tenant
}

func newTenantQuotas(tenants []Tenant) *tenantQuotas {
	return &tenantQuotas{tenants: tenants, cores: make([]float64, len(tenants))}
}

// reserve counts reserved cores for a tenant. It ignores requests without a tenant.
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

// quotaToUseRatio returns the tenant's share of all quotas, divided by its share of the cores that this scheduler's
// containers reserve. It is below 1 if the tenant is over its quota.
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
