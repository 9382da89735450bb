// Package ordercmd implements the operator command for the record of orders: it lists orders, shows
// one, records the outcome of unknown ones, and checks and compacts the record. It works on a folder
// that no process has open and fails if one has. The serving process does not use it.
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

const usage = `usage: linenloom orders list -dir DIR [-state unknown]     list the orders by the time of their latest change
       linenloom orders show -dir DIR -tenant T -key K    show an order
       linenloom orders settle -dir DIR -tenant T -key K -as done|never_ran -by NAME [-receipt FILE]
                                                          record the outcome of an unknown order
       linenloom orders check -dir DIR                    read the whole record and report damage by file and byte
       linenloom orders compact -dir DIR                  rewrite the current entries and remove superseded ones
No process may have the folder open. Orders that had been sent and were in progress when the last process ended are unknown.
`

// Run runs the command and returns its exit status.
func Run(args []string) int {
	return run(args, os.Stdout, os.Stderr, ledger.WallClock)
}

// command is a subcommand: the flags that it requires, and the function that runs it on the open
// ledger.
type command struct {
	requiredFlags []string
	run           func(l *ledger.Ledger, out io.Writer) error
}

func run(args []string, out, errs io.Writer, now func() time.Duration) int {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	flagSet := flag.NewFlagSet("orders "+name, flag.ContinueOnError)
	dir := flagSet.String("dir", "", "folder of the record")
	selected := commands(flagSet)[name]
	if selected == nil {
		fmt.Fprint(errs, usage)
		return usageStatus
	}
	if err := flags.Parse(flagSet, errs, args[1:], append([]string{"dir"}, selected.requiredFlags...)...); err != nil {
		if !errors.Is(err, flags.ErrUsage) {
			fmt.Fprintf(errs, "linenloom orders %s: %v\n", name, err)
		}
		return usageStatus
	}
	if err := withLedger(*dir, now, out, selected.run); err != nil {
		fmt.Fprintf(errs, "linenloom orders %s: %v\n", name, err)
		return 1
	}
	return 0
}

// withLedger opens the ledger in an existing folder, calls operation and closes the ledger.
func withLedger(dir string, now func() time.Duration, out io.Writer, operation func(*ledger.Ledger, io.Writer) error) error {
	if err := disk.Dir(dir).CheckExists(); err != nil {
		return err
	}
	opened, err := ledger.Open(disk.Dir(dir), ledger.Unbounded, now)
	var damage *log.Damage
	switch {
	case errors.As(err, &damage):
		return fmt.Errorf("%w\nNothing was changed. A copy of the folder from before the damage, or the segments up to the damage, contain the record up to that point", err)
	case err != nil:
		return err
	}
	return errors.Join(operation(opened, out), opened.Close())
}

func commands(flagSet *flag.FlagSet) map[string]*command {
	state, outcome := flagSet.String("state", "", "only orders in this state"), flagSet.String("as", "", "done or never_ran")
	tenant, key := flagSet.String("tenant", "", "the order's tenant"), flagSet.String("key", "", "the order's idempotency key, or the request id if there was none")
	operator, receiptFile := flagSet.String("by", "", "name of the operator who determined the outcome"), flagSet.String("receipt", "", "file with the receipt of an order that is done")
	return map[string]*command{
		"list": {run: func(record *ledger.Ledger, out io.Writer) error {
			table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "state\tchanged\ttenant\tkey\tsent\tto\tsettled by")
			record.All(func(e *orders.Entry) bool {
				if *state == "" || *state == e.State.String() {
					fmt.Fprintf(table, "%v\t%s\t%q\t%q\t%d\t%s\t%s\n", e.State, formatTime(e.ChangedAt), e.Tenant, e.Key, e.Attempts, e.Member, e.ReportedBy)
				}
				return true
			})
			return table.Flush()
		}},
		"show": {requiredFlags: []string{"tenant", "key"}, run: func(record *ledger.Ledger, out io.Writer) error {
			e, ok := record.Get(orders.Name{Tenant: *tenant, Key: *key})
			if !ok {
				return errors.New("no such order is on record")
			}
			fmt.Fprintf(out, "state    %v\nchanged  %s\nsent     %d times, last to %q\ntoken    %q\nsettled  %q\ndigest   %x\nreceipt  %d bytes\n%s",
				e.State, formatTime(e.ChangedAt), e.Attempts, e.Member, e.Token, e.ReportedBy, e.Digest, len(e.Receipt), e.Receipt)
			return nil
		}},
		"settle": {requiredFlags: []string{"tenant", "key", "as", "by"}, run: func(record *ledger.Ledger, out io.Writer) error {
			states := map[string]orders.State{"done": orders.Done, "never_ran": orders.NeverRan}
			settled, ok := states[*outcome]
			if !ok {
				return fmt.Errorf("-as is done or never_ran, not %q", *outcome)
			}
			var receipt []byte
			if *receiptFile != "" {
				var err error
				if receipt, err = os.ReadFile(*receiptFile); err != nil {
					return err
				}
			}
			if strings.TrimSpace(*operator) == "" {
				return errors.New("-by is empty")
			}
			if err := record.Settle(orders.Name{Tenant: *tenant, Key: *key}, settled, receipt, *operator); err != nil {
				return err
			}
			fmt.Fprintf(out, "settled as %v\n", settled)
			return nil
		}},
		"check": {run: func(record *ledger.Ledger, out io.Writer) error {
			counts := map[orders.State]int{}
			record.All(func(e *orders.Entry) bool { counts[e.State]++; return true })
			for state := orders.Taken; state <= orders.Unknown; state++ {
				fmt.Fprintf(out, "%-10v %d\n", state, counts[state])
			}
			return nil
		}},
		"compact": {run: func(record *ledger.Ledger, out io.Writer) error {
			if err := record.Compact(); err != nil {
				return err
			}
			fmt.Fprintln(out, "compacted")
			return nil
		}},
	}
}

func formatTime(d time.Duration) string { return time.Unix(0, int64(d)).UTC().Format(time.RFC3339) }
