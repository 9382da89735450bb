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
	// segment is for what an opening writes anew: the last group, which nothing vouches for yet.
	segment = 4 << 20

	usage = `usage: linenloom store check DIR                  read a log, and name damage by file and byte
       linenloom store dump [-bytes 64] DIR       its records, in their order, with so much of each
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
	if name != "check" && name != "dump" {
		fmt.Fprint(errs, usage)
		return usageStatus
	}
	if f.Parse(args[1:]) != nil {
		return usageStatus // it has been told
	}
	if f.NArg() != 1 || most < 0 {
		fmt.Fprint(errs, usage)
		return usageStatus
	}
	if err := read(f.Arg(0), name == "dump", most, out); err != nil {
		fmt.Fprintf(errs, "linenloom store %s: %v\n", name, err)
		return 1
	}
	return 0
}

// read goes through the log in a folder that is there.
func read(dir string, dump bool, most int, out io.Writer) error {
	if err := disk.Dir(dir).There(); err != nil {
		return err
	}
	records, bytes, first, last := 0, 0, uint64(0), uint64(0)
	l, err := log.Open(disk.Dir(dir), log.Options{SegmentSize: segment}, func(r log.Record) error {
		if records == 0 {
			first = r.Seq
		}
		records, bytes, last = records+1, bytes+len(r.Payload), r.Seq
		if !dump {
			return nil
		}
		_, err := fmt.Fprintf(out, "%d kind %d, %d bytes%s\n", r.Seq, r.Kind, len(r.Payload), show(r, most))
		return err
	})
	if err != nil {
		var damage *log.Damage
		if errors.As(err, &damage) {
			return fmt.Errorf("%w\n%d records before it were read", err, records)
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

// show is what a record says: an order's entry in words, anything else as it stands.
func show(r log.Record, most int) string {
	if e, err := orders.Parse(r.Payload); err == nil {
		return fmt.Sprintf(": order %q %q %v, sent %d times", e.Tenant, e.Key, e.State, e.Tries)
	}
	if most == 0 || len(r.Payload) == 0 {
		return ""
	}
	return fmt.Sprintf(": %q", r.Payload[:min(most, len(r.Payload))])
}
