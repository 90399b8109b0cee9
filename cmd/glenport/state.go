package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"glenport/internal/schedulerd"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"

	"github.com/spf13/cobra"
)

func newStateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "state",
		Short:   "Inspect the state folder of a scheduler or a controller",
		Example: "  glenport state inspect /var/tmp/glenport-north-1",
	}
	c.AddCommand(
		&cobra.Command{
			Use:     "inspect FOLDER",
			Short:   "Summarize the contents of a state folder",
			Example: "  glenport state inspect /var/tmp/glenport-north-1",
			Args:    cobra.ExactArgs(1),
			RunE:    func(c *cobra.Command, args []string) error { return inspectState(args[0], c.OutOrStdout()) },
		},
		&cobra.Command{
			Use:     "verify FOLDER",
			Short:   "Check a state folder for damage",
			Long:    "Read a whole state folder and check it for damage. The exit code is 1 if anything is damaged.",
			Example: "  glenport state verify /var/tmp/glenport-north-1",
			Args:    cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return verifyState(args[0], c.OutOrStdout(), c.ErrOrStderr())
			},
		},
		&cobra.Command{
			Use:     "export FOLDER",
			Short:   "Print the records of a state folder as lines of JSON",
			Example: "  glenport state export /var/tmp/glenport-north-1 >records.jsonl",
			Args:    cobra.ExactArgs(1),
			RunE:    func(c *cobra.Command, args []string) error { return exportState(args[0], c.OutOrStdout()) },
		},
		&cobra.Command{
			Use:     "compact FOLDER",
			Short:   "Compact a state folder that no process uses into a snapshot",
			Example: "  glenport state compact /var/tmp/glenport-north-1",
			Args:    cobra.ExactArgs(1),
			RunE:    func(c *cobra.Command, args []string) error { return compactState(args[0], c.OutOrStdout()) },
		})
	return c
}

// stateFolder holds the readable content of a state folder.
type stateFolder struct {
	log         *wal.State // nil if there is none
	logErr      error
	snapshot    *schedulerd.WarmStartSnapshot // nil if there is none
	snapshotErr error
}

// readStateFolder reads as much of a state folder as possible. It returns an error only if the folder cannot be opened;
// damage returns the errors of its content.
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

// damage returns the errors in the content of the folder, or nil if it is undamaged.
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

// verifyState returns errNegativeResult if the folder is damaged.
func verifyState(path string, out, errOut io.Writer) error {
	f, err := readStateFolder(path)
	if err != nil {
		return err
	}
	if damage := f.damage(); damage != nil {
		if _, err := fmt.Fprintln(errOut, damage); err != nil {
			return err
		}
		return errNegativeResult
	}
	_, err = fmt.Fprintf(out, "%s: valid, %d records, %d groups\n", path, f.log.Records, f.log.Groups)
	return err
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
