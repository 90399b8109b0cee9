package schedulerd

import (
	"encoding/json"

	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// The types of this file define the JSON that `glenport state export` prints for a WarmStartSnapshot. Other programs
// read the JSON, so its names are fixed here, independently of the names in the code.
type (
	exportedSnapshot struct {
		TakenAt         warmstart.Timestamp            `json:"At"`
		ClassNames      []string                       `json:"Names"`
		Learned         exportedLearned                `json:"Learned"`
		Incarnations    map[scheduler.MachineID]uint64 `json:"Starts"`
		ListVersion     int64                          `json:"ListIs"`
		Entries         []entryRecord                  `json:"Entries"`
		OrderlyShutdown bool                           `json:"AtAnOrder"`
		Overload        *overload.Snapshot             `json:"Door"`
	}

	exportedLearned struct {
		Machines        []exportedMachine      `json:"Machines"`
		TrafficClasses  []exportedTrafficClass `json:"Traits"`
		FullRatio       float64                `json:"Full"`
		RejectedWeight  float64                `json:"Missed"`
		SendsKnownSince scheduler.Time         `json:"SentSince"`
	}

	exportedMachine struct {
		Machine           scheduler.MachineID `json:"Machine"`
		StartedAt         scheduler.Time      `json:"Started"`
		OutlierLogOdds    float64             `json:"Sick"`
		EjectedUntil      scheduler.Time      `json:"RestUntil"`
		EjectionTime      scheduler.Time      `json:"Rest"`
		SelfDrainingUntil scheduler.Time      `json:"ShutUntil"`
		FailureEvidence   []exportedEvidence  `json:"Doubts"`
		RecentSends       []scheduler.Time    `json:"Cold"`
	}

	exportedTrafficClass struct {
		LossRatio          float64 `json:"Lost"`
		SuspicionThreshold float64 `json:"Bar"`
	}

	exportedEvidence struct {
		LogOdds float64        `json:"Odds"`
		AsOf    scheduler.Time `json:"At"`
	}
)

// MarshalJSON implements json.Marshaler with the format of `glenport state export`.
func (w WarmStartSnapshot) MarshalJSON() ([]byte, error) {
	return json.Marshal(exportedSnapshot{
		TakenAt:         w.TakenAt,
		ClassNames:      w.ClassNames,
		Learned:         exportLearned(w.Learned),
		Incarnations:    w.Incarnations,
		ListVersion:     w.ListVersion,
		Entries:         w.Entries,
		OrderlyShutdown: w.OrderlyShutdown,
		Overload:        w.Overload,
	})
}

func exportLearned(s scheduler.Snapshot) exportedLearned {
	return exportedLearned{
		Machines:        exportAll(s.Machines, exportMachine),
		TrafficClasses:  exportAll(s.TrafficClasses, exportTrafficClass),
		FullRatio:       s.FullRatio,
		RejectedWeight:  s.RejectedWeight,
		SendsKnownSince: s.SendsKnownSince,
	}
}

func exportMachine(m scheduler.MachineSnapshot) exportedMachine {
	return exportedMachine{
		Machine:           m.Machine,
		StartedAt:         m.StartedAt,
		OutlierLogOdds:    m.OutlierLogOdds,
		EjectedUntil:      m.EjectedUntil,
		EjectionTime:      m.EjectionTime,
		SelfDrainingUntil: m.SelfDrainingUntil,
		FailureEvidence:   exportAll(m.FailureEvidence, exportEvidence),
		RecentSends:       m.RecentSends,
	}
}

func exportTrafficClass(c scheduler.TrafficClass) exportedTrafficClass {
	return exportedTrafficClass{LossRatio: c.LossRatio, SuspicionThreshold: c.SuspicionThreshold}
}

func exportEvidence(e scheduler.FailureEvidence) exportedEvidence {
	return exportedEvidence{LogOdds: e.LogOdds, AsOf: e.AsOf}
}

// exportAll converts a slice. It keeps nil, which JSON shows as null; an empty slice is shown as [].
func exportAll[From, To any](from []From, export func(From) To) []To {
	if from == nil {
		return nil
	}
	to := make([]To, len(from))
	for i := range from {
		to[i] = export(from[i])
	}
	return to
}
