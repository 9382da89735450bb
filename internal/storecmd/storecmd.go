// Package storecmd implements the operator command for logs of the store, whatever they contain: it
// checks a log, prints its records and repairs it. It works on a folder that no process has open. The
// serving process does not use it.
package storecmd

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"linenloom/internal/orders"
	"linenloom/internal/store/disk"
	"linenloom/internal/store/log"
)

const (
	usageStatus = 2
	// segmentSize applies to the segment that opening a log writes: it rewrites the last group if
	// nothing confirms it as durable.
	segmentSize = 4 << 20

	usage = `usage: linenloom store check DIR                  read a log and report damage by file and byte
       linenloom store dump [-bytes 64] DIR       print the records in order, with the first bytes of each
       linenloom store repair -copy NEW DIR       repair a log with duplicate records, after copying it to a new folder
No process may have the folder open. Opening rewrites the last group if nothing confirms it as durable, and changes nothing else.
`
)

// Run runs the command and returns its exit status.
func Run(args []string) int { return run(args, os.Stdout, os.Stderr) }

func run(args []string, out, errs io.Writer) int {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	flagSet := flag.NewFlagSet("store "+name, flag.ContinueOnError)
	flagSet.SetOutput(errs)
	maxBytes := 0
	if name == "dump" {
		flagSet.IntVar(&maxBytes, "bytes", 64, "maximum number of bytes to print of each record")
	}
	copyDir := ""
	if name == "repair" {
		flagSet.StringVar(&copyDir, "copy", "", "new or empty folder for a copy of the log before the repair")
	}
	if name != "check" && name != "dump" && name != "repair" {
		fmt.Fprint(errs, usage)
		return usageStatus
	}
	if flagSet.Parse(args[1:]) != nil {
		return usageStatus // flagSet.Parse has printed the error
	}
	if flagSet.NArg() != 1 || maxBytes < 0 || name == "repair" && copyDir == "" {
		fmt.Fprint(errs, usage)
		return usageStatus
	}
	if name == "repair" {
		if err := repairLog(flagSet.Arg(0), copyDir, out); err != nil {
			fmt.Fprintf(errs, "linenloom store repair: %v\nNothing of the log was changed\n", err)
			return 1
		}
		return 0
	}
	if err := readLog(flagSet.Arg(0), name == "dump", maxBytes, out); err != nil {
		fmt.Fprintf(errs, "linenloom store %s: %v\n", name, err)
		return 1
	}
	return 0
}

// readLog reads the log in an existing folder, prints its records if dump is set, and prints a summary.
func readLog(dir string, dump bool, maxBytes int, out io.Writer) error {
	if err := disk.Dir(dir).CheckExists(); err != nil {
		return err
	}
	records, bytes, first, last := 0, 0, uint64(0), uint64(0)
	opened, err := log.Open(disk.Dir(dir), log.Options{SegmentSize: segmentSize}, func(r log.Record) error {
		if records == 0 {
			first = r.Sequence
		}
		records, bytes, last = records+1, bytes+len(r.Payload), r.Sequence
		if !dump {
			return nil
		}
		_, err := fmt.Fprintf(out, "%d kind %d, %d bytes%s\n", r.Sequence, r.Kind, len(r.Payload), describeRecord(r, maxBytes))
		return err
	})
	if err != nil {
		var damage *log.Damage
		if errors.As(err, &damage) {
			err = fmt.Errorf("%w\n%d records before it were read", err, records)
			if damage.Duplicate {
				err = fmt.Errorf("%w\nlinenloom store repair may fix this without losing a record", err)
			}
		}
		return err
	}
	if err := opened.Close(); err != nil {
		return err
	}
	if records == 0 {
		fmt.Fprintln(out, "no record")
		return nil
	}
	fmt.Fprintf(out, "%d records, %d to %d, %d bytes: whole\n", records, first, last, bytes)
	return nil
}

// repairLog copies the log in a folder and repairs it.
func repairLog(dir, copyDir string, out io.Writer) error {
	if err := disk.Dir(dir).CheckExists(); err != nil {
		return err
	}
	if err := os.MkdirAll(copyDir, 0o700); err != nil {
		return err
	}
	if existing, err := os.ReadDir(copyDir); err != nil || len(existing) > 0 {
		return errors.Join(err, fmt.Errorf("%s is not empty: the copy needs a new or empty folder", copyDir))
	}
	result, err := log.Repair(disk.Dir(dir), disk.Dir(copyDir))
	if err != nil {
		return err
	}
	if !result.Duplicate {
		fmt.Fprintln(out, "no duplicate records: nothing was changed, nothing was copied")
		return nil
	}
	fmt.Fprintf(out, "Records %d to %d were in %s from byte %d on, and again in %s.\n", result.FirstDuplicate, result.LastDuplicate, result.PrecedingFile, result.PrecedingSize, result.DuplicateFile)
	fmt.Fprintf(out, "The unchanged log was copied to %s.\n", copyDir)
	fmt.Fprintf(out, "%d records, from %d on, were written to %s, which follows %s up to that byte. No record was lost, and no file was changed or removed.\n",
		result.RecordsWritten, result.FirstDuplicate, result.NewFile, result.PrecedingFile)
	return nil
}

// describeRecord returns a description of the payload: the main fields of an order entry, or else its
// first maxBytes bytes, quoted.
func describeRecord(r log.Record, maxBytes int) string {
	if e, err := orders.Parse(r.Payload); err == nil {
		return fmt.Sprintf(": order %q %q %v, sent %d times", e.Tenant, e.Key, e.State, e.Attempts)
	}
	if maxBytes == 0 || len(r.Payload) == 0 {
		return ""
	}
	return fmt.Sprintf(": %q", r.Payload[:min(maxBytes, len(r.Payload))])
}
