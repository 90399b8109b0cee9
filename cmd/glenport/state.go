package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"time"

	"glenport/internal/schedulerd"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
	"github.com/spf13/cobra"
)

func stateCommand() *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "Look at the state folder of a placer or a keeper"}
	c.AddCommand(
		&cobra.Command{Use: "inspect FOLDER", Short: "Tell what a folder holds", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error { return inspect(args[0], c.OutOrStdout()) }},
		&cobra.Command{Use: "verify FOLDER", Short: "Read all of a folder and check it", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error { return verify(args[0], c.OutOrStdout(), c.ErrOrStderr()) }},
		&cobra.Command{Use: "export FOLDER", Short: "Write a folder's records as lines of JSON", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error { return export(args[0], c.OutOrStdout()) }},
		&cobra.Command{Use: "compact FOLDER", Short: "Make a snapshot of a folder that nobody holds", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error { return compact(args[0], c.OutOrStdout()) }})
	return c
}

// looked is a folder that was read, as far as it can be.
type looked struct {
	state     *wal.State
	stateErr  error
	knowledge *schedulerd.WarmStartSnapshot // nil where there is none
	knownErr  error
}

func look(path string) (*looked, error) {
	d, err := vfs.OpenReadOnly(path)
	if err != nil {
		return nil, err
	}
	l := &looked{}
	l.state, l.stateErr = wal.Load(d, false)
	l.knowledge, l.knownErr = schedulerd.ReadWarmStart(d)
	return l, nil
}

func inspect(path string, out io.Writer) error {
	l, err := look(path)
	if err != nil {
		return err
	}
	if s := l.state; s != nil {
		fmt.Fprintf(out, "log: version %d, %d records in %d bytes; the snapshot ends before group %d, the log with group %d (%d read)\n",
			wal.FormatVersion, s.Records, s.Bytes, s.FirstGroup, s.LastGroup, s.Groups)
		if s.TruncatedBytes > 0 {
			fmt.Fprintf(out, "log: %d bytes of an unfinished group at the end, never acknowledged: cut off at the next start\n", s.TruncatedBytes)
		}
		for _, k := range s.Kinds() {
			fmt.Fprintf(out, "  %-10s %d\n", k, s.Count(k))
		}
	}
	if k := l.knowledge; k != nil {
		sick, resting := 0, 0
		for _, m := range k.Learned.Machines {
			if m.OutlierLogOdds > 0 {
				sick++
			}
			if m.EjectedUntil > 0 {
				resting++
			}
		}
		at := time.UnixMicro(int64(k.TakenAt.Clock) * 100)
		how := "while it ran"
		if k.OrderlyShutdown {
			how = "at an orderly end"
		}
		fmt.Fprintf(out, "knowledge: version %d, written %s ago, %s; list version %d with %d machines, evidence against %d, %d resting\n",
			schedulerd.WarmStartVersion, time.Since(at).Round(time.Millisecond), how, k.ListVersion, len(k.Entries), sick, resting)
	}
	return errors.Join(l.stateErr, l.knownErr)
}

// verify exits with 1 where anything is not as it was written.
func verify(path string, out, fault io.Writer) error {
	l, err := look(path)
	if err != nil {
		return err
	}
	if err := errors.Join(l.stateErr, l.knownErr); err != nil {
		fmt.Fprintln(fault, err)
		return exitCode(1)
	}
	fmt.Fprintf(out, "%s: good, %d records, %d groups\n", path, l.state.Records, l.state.Groups)
	return nil
}

// export writes what can be read, and then the fault where there is one.
func export(path string, out io.Writer) error {
	l, err := look(path)
	if err != nil {
		return err
	}
	decode, err := cbor.DecOptions{DefaultMapType: reflect.TypeFor[map[string]any]()}.DecMode()
	if err != nil {
		return err
	}
	lines := json.NewEncoder(out)
	if l.state != nil {
		for _, kind := range l.state.Kinds() {
			if err := l.state.ForEach(kind, func(key string, value []byte) error {
				var v any
				if err := decode.Unmarshal(value, &v); err != nil {
					return fmt.Errorf("%s %s: %w", kind, key, err)
				}
				return lines.Encode(map[string]any{"kind": kind, "key": key, "value": v})
			}); err != nil {
				return err
			}
		}
	}
	if k := l.knowledge; k != nil {
		known := *k
		known.Learned.TrafficClasses = append([]scheduler.TrafficClass(nil), known.Learned.TrafficClasses...)
		for i := range known.Learned.TrafficClasses { // JSON has no word for infinity: the highest number stands for it
			known.Learned.TrafficClasses[i].SuspicionThreshold = min(known.Learned.TrafficClasses[i].SuspicionThreshold, 1e308)
		}
		if err := lines.Encode(map[string]any{"kind": "knowledge", "value": known}); err != nil {
			return err
		}
	}
	return errors.Join(l.stateErr, l.knownErr)
}

func compact(path string, out io.Writer) error {
	if _, err := vfs.OpenReadOnly(path); err != nil { // Open would make it
		return err
	}
	d, err := vfs.OpenLocked(path)
	if err != nil {
		return err
	}
	defer d.Close()
	before, after, err := wal.Compact(d)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d records, %d bytes before, %d after\n", path, after.Records, before.Bytes, after.Bytes)
	return nil
}
