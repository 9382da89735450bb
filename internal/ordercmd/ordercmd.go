// Package ordercmd is the command for the record of orders, for an operator by hand: what is on record, what is unknown, and settling what has
// been looked up. It works on a folder that no process has open, says so where one has, and is no part of serving.
package ordercmd

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"linenloom/internal/flags"
	"linenloom/internal/orders"
	"linenloom/internal/orders/ledger"
	"linenloom/internal/store/disk"
	"linenloom/internal/store/log"
)

const usageStatus = 2

const usage = `usage: linenloom orders list -dir DIR [-state unknown]     what is on record, by the time of the latest change
       linenloom orders show -dir DIR -tenant T -key K    all that is on record of an order
       linenloom orders settle -dir DIR -tenant T -key K -as done|never_ran -by NAME [-receipt FILE]
                                                          put on record what has become of an unknown order
       linenloom orders check -dir DIR                    read all of it, and name damage by file and byte
       linenloom orders compact -dir DIR                  write anew what is on record, and remove the rest
No process may have the folder open. What was in hand when the last one ended is unknown, if it had been sent.
`

// Run runs the command.
func Run(args []string) int {
	return run(args, os.Stdout, os.Stderr, ledger.WallClock)
}

// command is the flags that a command needs, and what it does with the open ledger.
type command struct {
	requiredFlags []string
	run           func(l *ledger.Ledger, out io.Writer) error
}

func run(args []string, out, errs io.Writer, now func() time.Duration) int {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	f := flag.NewFlagSet("orders "+name, flag.ContinueOnError)
	dir := f.String("dir", "", "the folder of the record")
	c := commands(f)[name]
	if c == nil {
		fmt.Fprint(errs, usage)
		return usageStatus
	}
	if err := flags.Parse(f, errs, args[1:], append([]string{"dir"}, c.requiredFlags...)...); err != nil {
		if !errors.Is(err, flags.ErrUsage) {
			fmt.Fprintf(errs, "linenloom orders %s: %v\n", name, err)
		}
		return usageStatus
	}
	if err := withLedger(*dir, now, out, c.run); err != nil {
		fmt.Fprintf(errs, "linenloom orders %s: %v\n", name, err)
		return 1
	}
	return 0
}

// withLedger opens the ledger in a folder that is there.
func withLedger(dir string, now func() time.Duration, out io.Writer, do func(*ledger.Ledger, io.Writer) error) error {
	if err := disk.Dir(dir).CheckExists(); err != nil {
		return err
	}
	l, err := ledger.Open(disk.Dir(dir), ledger.Unbounded, now)
	var damage *log.Damage
	switch {
	case errors.As(err, &damage):
		return fmt.Errorf("%w\nNothing was changed. A copy of the folder from before the damage, or the segments up to it, hold what was on record until then", err)
	case err != nil:
		return err
	}
	return errors.Join(do(l, out), l.Close())
}

func commands(f *flag.FlagSet) map[string]*command {
	state, as := f.String("state", "", "only orders in this state"), f.String("as", "", "done or never_ran")
	tenant, key := f.String("tenant", "", "the order's tenant"), f.String("key", "", "its idempotency key, or its request's id")
	by, file := f.String("by", "", "who has looked it up"), f.String("receipt", "", "the file that holds the receipt of an order that is done")
	return map[string]*command{
		"list": {run: func(l *ledger.Ledger, out io.Writer) error {
			t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "state\tchanged\ttenant\tkey\tsent\tto\tsettled by")
			l.All(func(e *orders.Entry) bool {
				if *state == "" || *state == e.State.String() {
					fmt.Fprintf(t, "%v\t%s\t%q\t%q\t%d\t%s\t%s\n", e.State, formatTime(e.ChangedAt), e.Tenant, e.Key, e.Attempts, e.Member, e.ReportedBy)
				}
				return true
			})
			return t.Flush()
		}},
		"show": {requiredFlags: []string{"tenant", "key"}, run: func(l *ledger.Ledger, out io.Writer) error {
			e, ok := l.Get(orders.Name{Tenant: *tenant, Key: *key})
			if !ok {
				return errors.New("no such order is on record")
			}
			fmt.Fprintf(out, "state    %v\nchanged  %s\nsent     %d times, last to %q\ntoken    %q\nsettled  %q\ndigest   %x\nreceipt  %d bytes\n%s",
				e.State, formatTime(e.ChangedAt), e.Attempts, e.Member, e.Token, e.ReportedBy, e.Digest, len(e.Receipt), e.Receipt)
			return nil
		}},
		"settle": {requiredFlags: []string{"tenant", "key", "as", "by"}, run: func(l *ledger.Ledger, out io.Writer) error {
			states := map[string]orders.State{"done": orders.Done, "never_ran": orders.NeverRan}
			s, ok := states[*as]
			if !ok {
				return fmt.Errorf("-as is done or never_ran, not %q", *as)
			}
			var receipt []byte
			if *file != "" {
				var err error
				if receipt, err = os.ReadFile(*file); err != nil {
					return err
				}
			}
			if strings.TrimSpace(*by) == "" {
				return errors.New("-by is empty")
			}
			if err := l.Settle(orders.Name{Tenant: *tenant, Key: *key}, s, receipt, *by); err != nil {
				return err
			}
			fmt.Fprintf(out, "settled as %v\n", s)
			return nil
		}},
		"check": {run: func(l *ledger.Ledger, out io.Writer) error {
			counts := map[orders.State]int{}
			l.All(func(e *orders.Entry) bool { counts[e.State]++; return true })
			for s := orders.Taken; s <= orders.Unknown; s++ {
				fmt.Fprintf(out, "%-10v %d\n", s, counts[s])
			}
			return nil
		}},
		"compact": {run: func(l *ledger.Ledger, out io.Writer) error {
			if err := l.Compact(); err != nil {
				return err
			}
			fmt.Fprintln(out, "compacted")
			return nil
		}},
	}
}

func formatTime(d time.Duration) string { return time.Unix(0, int64(d)).UTC().Format(time.RFC3339) }
