// Package reasons counts why requests waited, were refused or failed, by class and tenant. The module gives the reasons
// (logic.Reason); a host adds what it turns away by itself. It never decides anything and starts nothing: who owns a
// Counts guards it.
package reasons

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"linenloom/logic"
)

// What became of a request.
type What uint8

// A request may wait more than once; it is refused or fails once at the most.
const (
	Waited What = iota
	Refused
	Failed
	whats
)

func (w What) String() string {
	return [...]string{"waited", "refused", "failed", "unknown"}[min(w, whats)]
}

// Host's own reasons follow those of the module.
const (
	HostFull     logic.Reason = logic.ReasonCount + iota // as many requests, or bytes of them, in hand as the memory is for
	Stopping                                             // the proxy takes nothing any more
	Overload                                             // it waited too long to be read: more comes than the proxy's core can do
	RecordFull                                           // the record of orders has no room for another
	RecordBehind                                         // the record's disk is slow, or the process before still has it
	RecordFault                                          // the record's disk can't be written
	OrderInHand                                          // a request in hand has the order's name
	OtherOrder                                           // the order's name stands for another order
	OrderHasRun                                          // and its receipt is not told here
	OrderUnknown                                         // it may have run, and is to be looked up
	all
)

// Name is a reason's name in logs and reports.
func Name(r logic.Reason) string {
	if r >= HostFull && r < all {
		return [all - HostFull]string{"host_full", "stopping", "overload", "record_full", "record_behind", "record_fault", "order_in_hand", "other_order",
			"order_has_run", "order_unknown"}[r-HostFull]
	}
	return r.String()
}

// Counts are counts since the start. Its size is fixed when it is made.
type Counts struct {
	classes, tenants []string
	n                []uint64
}

// New makes counts for these classes and tenants, by their places in the settings. No tenant at all counts as one
// without a name.
func New(classes, tenants []string) *Counts {
	if len(tenants) == 0 {
		tenants = []string{""}
	}
	c := &Counts{classes: slices.Clone(classes), tenants: slices.Clone(tenants)}
	c.n = make([]uint64, len(c.classes)*len(c.tenants)*int(whats)*int(all))
	return c
}

// Add counts one. A class or tenant that the settings don't have is counted with none.
func (c *Counts) Add(w What, class, tenant int, why logic.Reason) {
	if tenant < 0 || tenant >= len(c.tenants) {
		tenant = 0
	}
	if class < 0 || class >= len(c.classes) || w >= whats || why >= all {
		return
	}
	c.n[c.at(class, tenant, w, why)]++
}

func (c *Counts) at(class, tenant int, w What, why logic.Reason) int {
	return ((class*len(c.tenants)+tenant)*int(whats)+int(w))*int(all) + int(why)
}

// Clone is a copy that changes no more.
func (c *Counts) Clone() *Counts {
	return &Counts{classes: c.classes, tenants: c.tenants, n: slices.Clone(c.n)}
}

// For is the counts for other classes: a class that is in both keeps its own.
func (c *Counts) For(classes []string) *Counts {
	n := New(classes, c.tenants)
	each := len(c.n) / max(1, len(c.classes))
	for i, name := range classes {
		if was := slices.Index(c.classes, name); was >= 0 {
			copy(n.n[i*each:(i+1)*each], c.n[was*each:])
		}
	}
	return n
}

// Since is what has been counted since an earlier copy; nil stands for the start.
func (c *Counts) Since(was *Counts) *Counts {
	d := c.Clone()
	if was != nil {
		for i := range d.n {
			d.n[i] -= was.n[i]
		}
	}
	return d
}

// Row is one count.
type Row struct {
	What          What
	Class, Tenant string
	Why           logic.Reason
	Count         uint64
}

// Rows are the counts that are not zero, by class, tenant and what became of the requests, the largest first.
func (c *Counts) Rows() (rows []Row) {
	for i, class := range c.classes {
		for k, tenant := range c.tenants {
			for w := range whats {
				from := len(rows)
				for why := range all {
					if n := c.n[c.at(i, k, w, why)]; n > 0 {
						rows = append(rows, Row{w, class, tenant, why, n})
					}
				}
				slices.SortStableFunc(rows[from:], func(a, b Row) int { return int(b.Count) - int(a.Count) })
			}
		}
	}
	return rows
}

// Total is how many requests of all classes and tenants became that for that reason.
func (c *Counts) Total(w What, why logic.Reason) (n uint64) {
	for i := range c.classes {
		for k := range c.tenants {
			n += c.n[c.at(i, k, w, why)]
		}
	}
	return n
}

// Attrs are the counts as names and values for a structured log: what became of whose requests, and why.
func (c *Counts) Attrs() (attrs []any) {
	var name string
	var text strings.Builder
	for _, r := range c.Rows() {
		group := r.What.String() + "_" + r.Class
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
		fmt.Fprintf(&text, "%s=%d", Name(r.Why), r.Count)
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
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", r.Class, r.Tenant, r.What, Name(r.Why), r.Count)
	}
	return t.Flush()
}
