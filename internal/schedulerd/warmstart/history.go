package warmstart

import "glenport/internal/schedulerd/recovery"

// LogHistory describes what the log holds of earlier incarnations of the scheduler. Each incarnation writes its own
// history to the log when it starts.
type LogHistory struct {
	// time since which every incarnation has recorded its sends to machines in slow start; zero if none has
	SendsRecordedSince Timestamp            `cbor:"Whole"`
	Coverage           recovery.LogCoverage `cbor:"Log"`
}

// Next returns the history of the incarnation that starts now. A restart of the system may lose records that were
// written but not synced. Attempts that were missing before the start are still missing, until every machine has
// reported.
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

// WithCompleteLog returns the history after every machine has reported the attempts it holds.
func (h LogHistory) WithCompleteLog() LogHistory {
	h.Coverage = recovery.LogComplete
	return h
}
