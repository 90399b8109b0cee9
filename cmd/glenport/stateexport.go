package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"

	"glenport/internal/schedulerd"
	"glenport/internal/storage/wal"

	"github.com/fxamacker/cbor/v2"
)

// maxExportedThreshold replaces infinity, which JSON cannot express.
const maxExportedThreshold = 1e308

// exportState writes all readable records as lines of JSON, and returns the damage of the folder, if any.
func exportState(path string, out io.Writer) error {
	f, err := readStateFolder(path)
	if err != nil {
		return err
	}
	lines := json.NewEncoder(out)
	if f.log != nil {
		if err := exportLog(lines, f.log); err != nil {
			return err
		}
	}
	if f.snapshot != nil {
		if err := exportSnapshot(lines, f.snapshot); err != nil {
			return err
		}
	}
	return f.damage()
}

// exportedRecord is the exported line of a record. Its fields are in alphabetical order.
type exportedRecord struct {
	Key   string `json:"key"`
	Kind  string `json:"kind"`
	Value any    `json:"value"`
}

// exportedSnapshot is the exported line of the warm-start snapshot.
type exportedSnapshot struct {
	Kind  string                        `json:"kind"`
	Value *schedulerd.WarmStartSnapshot `json:"value"`
}

func exportLog(lines *json.Encoder, log *wal.State) error {
	decoder, err := cbor.DecOptions{DefaultMapType: reflect.TypeFor[map[string]any]()}.DecMode()
	if err != nil {
		return err
	}
	for _, kind := range log.Kinds() {
		err := log.ForEach(kind, func(key string, value []byte) error {
			var decoded any
			if err := decoder.Unmarshal(value, &decoded); err != nil {
				return fmt.Errorf("%s %s: %w", kind, key, err)
			}
			return lines.Encode(exportedRecord{Key: key, Kind: kind, Value: decoded})
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func exportSnapshot(lines *json.Encoder, snapshot *schedulerd.WarmStartSnapshot) error {
	exported := *snapshot
	exported.Learned.TrafficClasses = slices.Clone(snapshot.Learned.TrafficClasses)
	for i := range exported.Learned.TrafficClasses {
		class := &exported.Learned.TrafficClasses[i]
		class.SuspicionThreshold = math.Min(class.SuspicionThreshold, maxExportedThreshold)
	}
	return lines.Encode(exportedSnapshot{Kind: "knowledge", Value: &exported})
}
