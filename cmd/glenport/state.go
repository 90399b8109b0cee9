package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"time"

	"glenport/internal/schedulerd"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"

	"github.com/fxamacker/cbor/v2"
	"github.com/spf13/cobra"
)

// maxExportedThreshold stands for infinity in JSON, which cannot express it.
const maxExportedThreshold = 1e308

func newStateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "state",
		Short:   "Inspect the state folder of a scheduler or a controller",
		Example: "  glenport state inspect /var/tmp/glenport-north-1",
	}
	c.AddCommand(
		&cobra.Command{
			Use:     "inspect FOLDER",
			Short:   "Summarize what a folder holds",
			Example: "  glenport state inspect /var/tmp/glenport-north-1",
			Args:    cobra.ExactArgs(1),
			RunE:    func(c *cobra.Command, args []string) error { return inspectState(args[0], c.OutOrStdout()) },
		},
		&cobra.Command{
			Use:     "verify FOLDER",
			Short:   "Read all of a folder and check it",
			Long:    "Read all of a folder and check it. The exit code is 1 if anything is damaged.",
			Example: "  glenport state verify /var/tmp/glenport-north-1",
			Args:    cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return verifyState(args[0], c.OutOrStdout(), c.ErrOrStderr())
			},
		},
		&cobra.Command{
			Use:     "export FOLDER",
			Short:   "Write the records of a folder as lines of JSON",
			Example: "  glenport state export /var/tmp/glenport-north-1 >records.jsonl",
			Args:    cobra.ExactArgs(1),
			RunE:    func(c *cobra.Command, args []string) error { return exportState(args[0], c.OutOrStdout()) },
		},
		&cobra.Command{
			Use:     "compact FOLDER",
			Short:   "Make a snapshot of a folder that no process uses",
			Example: "  glenport state compact /var/tmp/glenport-north-1",
			Args:    cobra.ExactArgs(1),
			RunE:    func(c *cobra.Command, args []string) error { return compactState(args[0], c.OutOrStdout()) },
		})
	return c
}

// stateFolder is what could be read of a state folder.
type stateFolder struct {
	log         *wal.State // nil where there is none
	logErr      error
	snapshot    *schedulerd.WarmStartSnapshot // nil where there is none
	snapshotErr error
}

// readStateFolder reads a folder as far as it can be. The error says that the folder cannot be opened; what is damaged
// in it is reported by damage.
func readStateFolder(path string) (*stateFolder, error) {
	dir, err := vfs.OpenReadOnly(path)
	if err != nil {
		return nil, err
	}
	f := &stateFolder{}
	f.log, f.logErr = wal.Load(dir, false)
	f.snapshot, f.snapshotErr = schedulerd.ReadWarmStart(dir)
	return f, nil
}

// damage returns what is wrong with the content of the folder, nil where nothing is.
func (f *stateFolder) damage() error { return errors.Join(f.logErr, f.snapshotErr) }

func inspectState(path string, out io.Writer) error {
	f, err := readStateFolder(path)
	if err != nil {
		return err
	}
	p := &printer{w: out}
	if f.log != nil {
		printLogSummary(p, f.log)
	}
	if f.snapshot != nil {
		printSnapshotSummary(p, f.snapshot)
	}
	if p.err != nil {
		return p.err
	}
	return f.damage()
}

func printLogSummary(p *printer, log *wal.State) {
	p.printf("log: version %d, %d records in %d bytes; ", wal.FormatVersion, log.Records, log.Bytes)
	p.printf("the snapshot ends before group %d, the log with group %d (%d read)\n",
		log.FirstGroup, log.LastGroup, log.Groups)
	if log.TruncatedBytes > 0 {
		p.printf("log: %d bytes of an unfinished group at the end, never acknowledged: truncated at the next start\n",
			log.TruncatedBytes)
	}
	for _, kind := range log.Kinds() {
		p.printf("  %-10s %d\n", kind, log.Count(kind))
	}
}

func printSnapshotSummary(p *printer, snapshot *schedulerd.WarmStartSnapshot) {
	suspected, ejected := 0, 0
	for _, machine := range snapshot.Learned.Machines {
		if machine.OutlierLogOdds > 0 {
			suspected++
		}
		if machine.EjectedUntil > 0 {
			ejected++
		}
	}
	takenAt := time.UnixMicro(int64(snapshot.TakenAt.Clock) * tick.Microseconds())
	occasion := "while running"
	if snapshot.OrderlyShutdown {
		occasion = "at an orderly shutdown"
	}
	age := time.Since(takenAt).Round(time.Millisecond)
	p.printf("warm-start snapshot: version %d, written %s ago, %s; ", schedulerd.WarmStartVersion, age, occasion)
	p.printf("machine list version %d with %d machines, %d suspected, %d ejected\n",
		snapshot.ListVersion, len(snapshot.Entries), suspected, ejected)
}

// verifyState returns errNegative where anything is not as it was written.
func verifyState(path string, out, errOut io.Writer) error {
	f, err := readStateFolder(path)
	if err != nil {
		return err
	}
	if damage := f.damage(); damage != nil {
		if _, err := fmt.Fprintln(errOut, damage); err != nil {
			return err
		}
		return errNegative
	}
	_, err = fmt.Fprintf(out, "%s: valid, %d records, %d groups\n", path, f.log.Records, f.log.Groups)
	return err
}

// exportState writes what can be read, and returns the damage where there is any.
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

// exportedRecord is the line of one record. Its fields are in the order of their names.
type exportedRecord struct {
	Key   string `json:"key"`
	Kind  string `json:"kind"`
	Value any    `json:"value"`
}

// exportedSnapshot is the line of the warm-start snapshot.
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

func compactState(path string, out io.Writer) (err error) {
	if _, err := vfs.OpenReadOnly(path); err != nil { // OpenLocked would create the folder
		return err
	}
	dir, err := vfs.OpenLocked(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, dir.Close()) }()
	before, after, err := wal.Compact(dir)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %d records, %d bytes before, %d after\n",
		path, after.Records, before.Bytes, after.Bytes)
	return err
}
