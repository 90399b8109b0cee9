package warmstart

import "glenport/internal/schedulerd/recovery"

// LogHistory is what an incarnation of the scheduler writes to its log when it starts: what the log holds of those
// before it.
type LogHistory struct {
	// From then on every incarnation has recorded its sends to machines in slow start; zero where none did.
	SendsRecordedSince Timestamp            `cbor:"Whole"`
	Coverage           recovery.LogCoverage `cbor:"Log"`
}

// Next returns the history of the incarnation that starts now. A restart of the system may lose what was written and
// not synced. Attempts missing before are missing after any restart, until every machine has reported.
func (h LogHistory) Next(now Timestamp) LogHistory {
	elapsed := now.Since(h.SendsRecordedSince)
	switch {
	case h.SendsRecordedSince == Timestamp{}:
		return LogHistory{SendsRecordedSince: now}
	case !elapsed.SameBoot:
		return LogHistory{SendsRecordedSince: now, Coverage: min(h.Coverage, recovery.LogSynced)}
	}
	return LogHistory{SendsRecordedSince: now.ago(elapsed.Age), Coverage: h.Coverage}
}

// WithCompleteLog returns the history once every machine has reported what it holds.
func (h LogHistory) WithCompleteLog() LogHistory {
	h.Coverage = recovery.LogComplete
	return h
}
