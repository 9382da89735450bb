// Package reasons counts by class and tenant why requests waited, were refused or failed. The balancer
// module provides the reasons (logic.Reason); a host adds those for which it refuses requests itself. The
// package makes no decisions and starts no goroutines. The owner of a Counts guards it.
package reasons

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"linenloom/logic"
)

// Outcome is what happened to a request.
type Outcome uint8

// A request may wait more than once; it is refused or fails at most once.
const (
	Waited Outcome = iota
	Refused
	Failed
	outcomeCount
)

func (w Outcome) String() string {
	return [...]string{"waited", "refused", "failed", "unknown"}[min(w, outcomeCount)]
}

// Reasons of the host. They follow those of the module.
const (
	HostFull     logic.Reason = logic.ReasonCount + iota // requests in progress, or their bytes, are at the memory limit
	Stopping                                             // the proxy accepts no further requests
	Overload                                             // the core is overloaded: the request waited unread for long
	RecordFull                                           // the record of orders is full
	RecordBehind                                         // the disk is slow, or the predecessor still has the record
	RecordFault                                          // writes to the record's disk fail
	OrderInHand                                          // a request in progress has the order's name
	OtherOrder                                           // the order's name is that of another order
	OrderHasRun                                          // the order has run, and its receipt is not disclosed
	OrderUnknown                                         // the order may have run, and an operator has to look it up
	reasonCount
)

// Name returns the name of a reason in logs and reports.
func Name(r logic.Reason) string {
	if r >= HostFull && r < reasonCount {
		return [reasonCount - HostFull]string{"host_full", "stopping", "overload", "record_full", "record_behind", "record_fault", "order_in_hand", "other_order",
			"order_has_run", "order_unknown"}[r-HostFull]
	}
	return r.String()
}

// Counts holds the counts since the start. Its size is fixed at creation.
type Counts struct {
	classes, tenants []string
	values           []uint64
}

// New returns counts for these classes and tenants, indexed by their positions in the settings. Without
// tenants there is one with an empty name.
func New(classes, tenants []string) *Counts {
	if len(tenants) == 0 {
		tenants = []string{""}
	}
	c := &Counts{classes: slices.Clone(classes), tenants: slices.Clone(tenants)}
	c.values = make([]uint64, len(c.classes)*len(c.tenants)*int(outcomeCount)*int(reasonCount))
	return c
}

// Add counts one request. A tenant that the settings don't have counts as the first one; an unknown
// class, outcome or reason is not counted.
func (c *Counts) Add(outcome Outcome, class, tenant int, reason logic.Reason) {
	if tenant < 0 || tenant >= len(c.tenants) {
		tenant = 0
	}
	if class < 0 || class >= len(c.classes) || outcome >= outcomeCount || reason >= reasonCount {
		return
	}
	c.values[c.index(class, tenant, outcome, reason)]++
}

func (c *Counts) index(class, tenant int, w Outcome, why logic.Reason) int {
	return ((class*len(c.tenants)+tenant)*int(outcomeCount)+int(w))*int(reasonCount) + int(why)
}

// Clone returns a copy that no longer changes.
func (c *Counts) Clone() *Counts {
	return &Counts{classes: c.classes, tenants: c.tenants, values: slices.Clone(c.values)}
}

// ForClasses returns the counts for other classes. A class in both sets keeps its counts.
func (c *Counts) ForClasses(classes []string) *Counts {
	converted := New(classes, c.tenants)
	perClass := len(c.values) / max(1, len(c.classes))
	for i, name := range classes {
		if was := slices.Index(c.classes, name); was >= 0 {
			copy(converted.values[i*perClass:(i+1)*perClass], c.values[was*perClass:])
		}
	}
	return converted
}

// Since returns the counts since an earlier copy; nil stands for the start.
func (c *Counts) Since(was *Counts) *Counts {
	difference := c.Clone()
	if was != nil {
		for i := range difference.values {
			difference.values[i] -= was.values[i]
		}
	}
	return difference
}

// Row is one count.
type Row struct {
	Outcome       Outcome
	Class, Tenant string
	Reason        logic.Reason
	Count         uint64
}

// Rows returns the nonzero counts by class, tenant and outcome, the largest first.
func (c *Counts) Rows() (rows []Row) {
	for i, class := range c.classes {
		for k, tenant := range c.tenants {
			for w := range outcomeCount {
				from := len(rows)
				for why := range reasonCount {
					if n := c.values[c.index(i, k, w, why)]; n > 0 {
						rows = append(rows, Row{w, class, tenant, why, n})
					}
				}
				slices.SortStableFunc(rows[from:], func(a, b Row) int { return int(b.Count) - int(a.Count) })
			}
		}
	}
	return rows
}

// Total returns the number of requests of all classes and tenants with this outcome and reason.
func (c *Counts) Total(outcome Outcome, reason logic.Reason) (n uint64) {
	for i := range c.classes {
		for k := range c.tenants {
			n += c.values[c.index(i, k, outcome, reason)]
		}
	}
	return n
}

// Attrs returns the counts as names and values for a structured log. A name consists of outcome, class
// and tenant; its value lists the reasons.
func (c *Counts) Attrs() (attrs []any) {
	var name string
	var text strings.Builder
	for _, r := range c.Rows() {
		group := r.Outcome.String() + "_" + r.Class
		if r.Tenant != "" {
			group += "_" + r.Tenant
		}
		if group != name && name != "" {
			attrs = append(attrs, name, text.String())
			text.Reset()
		}
		if name = group; text.Len() > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s=%d", Name(r.Reason), r.Count)
	}
	if name != "" {
		attrs = append(attrs, name, text.String())
	}
	return attrs
}

// Print writes a table.
func (c *Counts) Print(w io.Writer) error {
	rows := c.Rows()
	if len(rows) == 0 {
		_, err := fmt.Fprintln(w, "no request waited, was refused or failed")
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\ttenant\toutcome\treason\tcount")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", r.Class, r.Tenant, r.Outcome, Name(r.Reason), r.Count)
	}
	return t.Flush()
}
