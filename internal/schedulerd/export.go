package schedulerd

import (
	"encoding/json"

	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"
)

// The types of this file are the form in which `glenport state export` shows a Knowledge. Operators read it with
// other programs, so that its names are fixed here, apart from those of the code.
type (
	exportedSnapshot struct {
		At        warmstart.Timestamp            `json:"At"`
		Names     []string                       `json:"Names"`
		Learned   exportedLearned                `json:"Learned"`
		Starts    map[scheduler.MachineID]uint64 `json:"Starts"`
		ListIs    int64                          `json:"ListIs"`
		Entries   []entryRecord                  `json:"Entries"`
		AtAnOrder bool                           `json:"AtAnOrder"`
		Door      *overload.Snapshot             `json:"Door"`
	}

	exportedLearned struct {
		Machines  []exportedMachine `json:"Machines"`
		Traits    []exportedTrait   `json:"Traits"`
		Full      float64           `json:"Full"`
		Missed    float64           `json:"Missed"`
		SentSince scheduler.Time    `json:"SentSince"`
	}

	exportedMachine struct {
		Machine   scheduler.MachineID `json:"Machine"`
		Started   scheduler.Time      `json:"Started"`
		Sick      float64             `json:"Sick"`
		RestUntil scheduler.Time      `json:"RestUntil"`
		Rest      scheduler.Time      `json:"Rest"`
		ShutUntil scheduler.Time      `json:"ShutUntil"`
		Doubts    []exportedDoubt     `json:"Doubts"`
		Cold      []scheduler.Time    `json:"Cold"`
	}

	exportedTrait struct {
		Lost float64 `json:"Lost"`
		Bar  float64 `json:"Bar"`
	}

	exportedDoubt struct {
		Odds float64        `json:"Odds"`
		At   scheduler.Time `json:"At"`
	}
)

// MarshalJSON gives the form of `glenport state export`.
func (k WarmStartSnapshot) MarshalJSON() ([]byte, error) {
	return json.Marshal(exportedSnapshot{At: k.TakenAt, Names: k.Names, Learned: exportLearned(k.Learned), Starts: k.Incarnations,
		ListIs: k.ListVersion, Entries: k.Entries, AtAnOrder: k.OrderlyShutdown, Door: k.Overload})
}

func exportLearned(k scheduler.Snapshot) exportedLearned {
	return exportedLearned{
		Machines: exportEach(k.Machines, exportMachine),
		Traits: exportEach(k.TrafficClasses, func(t scheduler.TrafficClass) exportedTrait {
			return exportedTrait{Lost: t.LossRatio, Bar: t.SuspicionThreshold}
		}),
		Full:      k.FullRatio,
		Missed:    k.RejectedWeight,
		SentSince: k.SendsKnownSince,
	}
}

func exportMachine(m scheduler.MachineSnapshot) exportedMachine {
	return exportedMachine{
		Machine:   m.Machine,
		Started:   m.StartedAt,
		Sick:      m.OutlierLogOdds,
		RestUntil: m.EjectedUntil,
		Rest:      m.EjectionTime,
		ShutUntil: m.SelfDrainingUntil,
		Doubts:    exportEach(m.FailureEvidence, func(d scheduler.FailureEvidence) exportedDoubt { return exportedDoubt{Odds: d.LogOdds, At: d.AsOf} }),
		Cold:      m.RecentSends,
	}
}

// exportEach keeps nil: JSON shows it as null and an empty slice as [].
func exportEach[From, To any](from []From, export func(From) To) []To {
	if from == nil {
		return nil
	}
	to := make([]To, len(from))
	for i := range from {
		to[i] = export(from[i])
	}
	return to
}
