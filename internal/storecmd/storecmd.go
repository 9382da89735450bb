// Package storecmd is the command for logs of the store, whatever they hold: whether one is whole, and what stands in it. It works on a folder
// that no process has open, and is no part of serving.
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
	// segmentSize is for what an opening writes anew: the last group, which nothing vouches for yet.
	segmentSize = 4 << 20

	usage = `usage: linenloom store check DIR                  read a log, and name damage by file and byte
       linenloom store dump [-bytes 64] DIR       its records, in their order, with so much of each
       linenloom store repair -copy NEW DIR       mend a log that says that records stand twice, after a copy to a new folder
No process may have the folder open. Opening writes the last group anew, which nothing vouches for yet, and changes nothing else.
`
)

// Run runs the command.
func Run(args []string) int { return run(args, os.Stdout, os.Stderr) }

func run(args []string, out, errs io.Writer) int {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	f := flag.NewFlagSet("store "+name, flag.ContinueOnError)
	f.SetOutput(errs)
	most := 0
	if name == "dump" {
		f.IntVar(&most, "bytes", 64, "of each record, at the most")
	}
	copies := ""
	if name == "repair" {
		f.StringVar(&copies, "copy", "", "a folder that is not there yet, or empty, for a copy of the log as it is")
	}
	if name != "check" && name != "dump" && name != "repair" {
		fmt.Fprint(errs, usage)
		return usageStatus
	}
	if f.Parse(args[1:]) != nil {
		return usageStatus // it has been told
	}
	if f.NArg() != 1 || most < 0 || name == "repair" && copies == "" {
		fmt.Fprint(errs, usage)
		return usageStatus
	}
	if name == "repair" {
		if err := repairLog(f.Arg(0), copies, out); err != nil {
			fmt.Fprintf(errs, "linenloom store repair: %v\nNothing of the log was changed\n", err)
			return 1
		}
		return 0
	}
	if err := readLog(f.Arg(0), name == "dump", most, out); err != nil {
		fmt.Fprintf(errs, "linenloom store %s: %v\n", name, err)
		return 1
	}
	return 0
}

// readLog goes through the log in a folder that is there.
func readLog(dir string, dump bool, most int, out io.Writer) error {
	if err := disk.Dir(dir).CheckExists(); err != nil {
		return err
	}
	records, bytes, first, last := 0, 0, uint64(0), uint64(0)
	l, err := log.Open(disk.Dir(dir), log.Options{SegmentSize: segmentSize}, func(r log.Record) error {
		if records == 0 {
			first = r.Sequence
		}
		records, bytes, last = records+1, bytes+len(r.Payload), r.Sequence
		if !dump {
			return nil
		}
		_, err := fmt.Fprintf(out, "%d kind %d, %d bytes%s\n", r.Sequence, r.Kind, len(r.Payload), describeRecord(r, most))
		return err
	})
	if err != nil {
		var damage *log.Damage
		if errors.As(err, &damage) {
			err = fmt.Errorf("%w\n%d records before it were read", err, records)
			if damage.Duplicate {
				err = fmt.Errorf("%w\nlinenloom store repair may mend that, with nothing lost", err)
			}
		}
		return err
	}
	if err := l.Close(); err != nil {
		return err
	}
	if records == 0 {
		fmt.Fprintln(out, "no record")
		return nil
	}
	fmt.Fprintf(out, "%d records, %d to %d, %d bytes: whole\n", records, first, last, bytes)
	return nil
}

// repairLog mends the log in a folder, after a copy.
func repairLog(dir, copies string, out io.Writer) error {
	if err := disk.Dir(dir).CheckExists(); err != nil {
		return err
	}
	if err := os.MkdirAll(copies, 0o700); err != nil {
		return err
	}
	if there, err := os.ReadDir(copies); err != nil || len(there) > 0 {
		return errors.Join(err, fmt.Errorf("%s is not empty: the copy needs a folder of its own", copies))
	}
	m, err := log.Repair(disk.Dir(dir), disk.Dir(copies))
	if err != nil {
		return err
	}
	if !m.Duplicate {
		fmt.Fprintln(out, "no record stands twice: nothing was changed, nothing was copied")
		return nil
	}
	fmt.Fprintf(out, "Records %d to %d stood in %s from byte %d on, and again in %s.\n", m.FirstDuplicate, m.LastDuplicate, m.PrecedingFile, m.PrecedingSize, m.DuplicateFile)
	fmt.Fprintf(out, "The log was copied to %s as it was.\n", copies)
	fmt.Fprintf(out, "%d records, from %d on, were written to %s, which follows %s up to that byte. No record was left out, no file changed or removed.\n",
		m.RecordsWritten, m.FirstDuplicate, m.NewFile, m.PrecedingFile)
	return nil
}

// describeRecord is what a record says: an order's entry in words, anything else as it stands.
func describeRecord(r log.Record, most int) string {
	if e, err := orders.Parse(r.Payload); err == nil {
		return fmt.Sprintf(": order %q %q %v, sent %d times", e.Tenant, e.Key, e.State, e.Attempts)
	}
	if most == 0 || len(r.Payload) == 0 {
		return ""
	}
	return fmt.Sprintf(": %q", r.Payload[:min(most, len(r.Payload))])
}
