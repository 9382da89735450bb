package operator

import (
	"time"

	"linenloom/internal/orders"
	"linenloom/internal/orders/keeper"
	"linenloom/internal/orders/ledger"
)

// Orders has orders kept on record on a disk that lasts (docs/orders-operators.md).
type Orders struct {
	Dir       string   `toml:"dir"`
	Most      int      `toml:"most" json:"Most"`
	MostBytes int      `toml:"most_bytes" json:"MostBytes"` // of receipts, together
	Keep      Duration `toml:"keep" json:"Keep"`            // how long an order that has ended is known, at the least
	Line      int      `toml:"line" json:"Line"`            // orders that may wait for the disk
	Segment   int      `toml:"segment" json:"Segment"`      // bytes of a file of the log
	CompactAt int      `toml:"compact_at" json:"CompactAt"`
	// Strangers is what becomes of a repeat that nobody here knows of: "look_up" or "run".
	Strangers string `toml:"strangers" json:"Strangers"`
	// Receipts are the fronts that answer a repeat with the receipt on record.
	Receipts []string `toml:"receipts" json:"Receipts"`
}

var ordersDefaults = Orders{Most: 100_000, MostBytes: 64 << 20, Keep: Duration(24 * time.Hour), Line: 256, Segment: 4 << 20, CompactAt: 10_000,
	Strangers: "look_up", Receipts: []string{"extproc"}}

// Options are the keeper's.
func (o *Orders) Options(follows bool) keeper.Options {
	return keeper.Options{WaitForPredecessor: follows, RunUnknownRetries: o.Strangers == "run", Options: ledger.Options{
		Limits:      orders.Limits{Retention: o.Keep.D(), MaxOrders: o.Most, MaxReceiptBytes: o.MostBytes},
		SegmentSize: int64(o.Segment), CompactAfter: o.CompactAt, MaxPending: o.Line}}
}

func (d *doc) checkOrders(o *Orders) {
	const p = "orders."
	if o.Dir == "" {
		d.at("orders", "orders.dir is missing")
	}
	d.number(p+"most", o.Most, 1, 10_000_000)
	d.number(p+"most_bytes", o.MostBytes, 1<<10, 1<<36)
	// Who asks again within a day must be known.
	d.within(p+"keep", o.Keep.D(), time.Minute, 90*24*time.Hour)
	d.number(p+"line", o.Line, 1, 1<<16)
	d.number(p+"segment", o.Segment, 64<<10, 1<<30)
	d.number(p+"compact_at", o.CompactAt, 100, 100_000_000)
	d.oneOf(p+"strangers", o.Strangers, "look_up", "run")
	for _, f := range o.Receipts {
		d.oneOf(p+"receipts", f, "resp2", "extproc")
	}
}
