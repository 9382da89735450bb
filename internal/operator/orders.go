package operator

import (
	"time"

	"linenloom/internal/orders"
	"linenloom/internal/orders/keeper"
	"linenloom/internal/orders/ledger"
)

// Orders enables the record of orders, on a persistent disk (docs/orders-operators.md).
type Orders struct {
	Dir             string   `toml:"dir"`
	MaxOrders       int      `toml:"most" json:"Most"`
	MaxReceiptBytes int      `toml:"most_bytes" json:"MostBytes"` // total size of the receipts
	Retention       Duration `toml:"keep" json:"Keep"`            // minimum time that an ended order is remembered
	MaxPending      int      `toml:"line" json:"Line"`            // orders that may wait for the disk
	SegmentSize     int      `toml:"segment" json:"Segment"`      // size of a log file in bytes
	CompactAfter    int      `toml:"compact_at" json:"CompactAt"`
	// UnknownRetries is what happens to a retry of an order that the record does not have: "look_up" or
	// "run".
	UnknownRetries string `toml:"strangers" json:"Strangers"`
	// ReceiptFronts is the fronts that answer a retry with the recorded receipt.
	ReceiptFronts []string `toml:"receipts" json:"Receipts"`
}

var ordersDefaults = Orders{MaxOrders: 100_000, MaxReceiptBytes: 64 << 20, Retention: Duration(24 * time.Hour), MaxPending: 256, SegmentSize: 4 << 20, CompactAfter: 10_000,
	UnknownRetries: "look_up", ReceiptFronts: []string{"extproc"}}

// Options returns the keeper's options. follows reports whether a predecessor process may still hold the
// record.
func (o *Orders) Options(follows bool) keeper.Options {
	return keeper.Options{WaitForPredecessor: follows, RunUnknownRetries: o.UnknownRetries == "run", Options: ledger.Options{
		Limits:      orders.Limits{Retention: o.Retention.D(), MaxOrders: o.MaxOrders, MaxReceiptBytes: o.MaxReceiptBytes},
		SegmentSize: int64(o.SegmentSize), CompactAfter: o.CompactAfter, MaxPending: o.MaxPending}}
}

func (d *decoder) checkOrders(o *Orders) {
	const prefix = "orders."
	if o.Dir == "" {
		d.faultAt("orders", "orders.dir is missing")
	}
	d.checkInt(prefix+"most", o.MaxOrders, 1, 10_000_000)
	d.checkInt(prefix+"most_bytes", o.MaxReceiptBytes, 1<<10, 1<<36)
	// Retries within a day have to be recognized; the default covers them.
	d.checkDuration(prefix+"keep", o.Retention.D(), time.Minute, 90*24*time.Hour)
	d.checkInt(prefix+"line", o.MaxPending, 1, 1<<16)
	d.checkInt(prefix+"segment", o.SegmentSize, 64<<10, 1<<30)
	d.checkInt(prefix+"compact_at", o.CompactAfter, 100, 100_000_000)
	d.checkOneOf(prefix+"strangers", o.UnknownRetries, "look_up", "run")
	for _, f := range o.ReceiptFronts {
		d.checkOneOf(prefix+"receipts", f, "resp2", "extproc")
	}
}
