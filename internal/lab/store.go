package lab

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/orders"
	"linenloom/internal/orders/ledger"
	"linenloom/internal/store/disk"
	"linenloom/internal/store/log"
)

const (
	storeRecordBytes  = 300 // bytes of a record, as an order's entry has
	storeSegmentBytes = 4 << 20
	storeRecords      = 1_000_000 // that are opened
	storeRounds       = 3         // each way takes its turn so often
	maxOpenHeapMB     = 64        // that opening may take beside the records' bound
)

// bareFile is a file that is appended to and synced without any of the log's care: each by itself, or in groups as the log forms them.
type bareFile struct {
	mu       sync.Mutex
	file     disk.File
	syncEach bool
	writing  bool
	pending  []byte
	done     chan struct{}
	err      error
}

func (f *bareFile) append(b []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.syncEach {
		if _, err := f.file.Write(b); err != nil {
			return err
		}
		return f.file.Sync()
	}
	if f.done == nil {
		f.done = make(chan struct{})
	}
	f.pending = append(f.pending, b...)
	done := f.done
	if f.writing {
		f.mu.Unlock()
		<-done
		f.mu.Lock()
		return f.err
	}
	for f.writing = true; f.done != nil; {
		group, told := f.pending, f.done
		f.pending, f.done = nil, nil
		f.mu.Unlock()
		_, err := f.file.Write(group)
		if err == nil {
			err = f.file.Sync()
		}
		f.mu.Lock()
		f.err = err
		close(told)
	}
	f.writing = false
	return f.err
}

// measureWrites has so many writers write for a while, and tells how often a second.
func measureWrites(writers int, d time.Duration, write func(writer, n int) error) (float64, error) {
	var n atomic.Int64
	var failed atomic.Pointer[error]
	var all sync.WaitGroup
	begun := time.Now()
	for w := range writers {
		all.Go(func() {
			for i := 0; time.Since(begun) < d && failed.Load() == nil; i++ {
				if err := write(w, i); err != nil {
					failed.Store(&err)
				}
				n.Add(1)
			}
		})
	}
	all.Wait()
	if err := failed.Load(); err != nil {
		return 0, *err
	}
	return float64(n.Load()) / time.Since(begun).Seconds(), nil
}

// Store is the scenario of the log and the record of orders on this machine's disk, beside bare appends to a file.
func Store(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "store"}
	each := max(500*time.Millisecond, time.Duration(e.Seconds)*time.Second/(12*storeRounds))
	payload := make([]byte, storeRecordBytes)
	for _, writers := range []int{1, 16, 64} {
		e.Log("store: %d writers", writers)
		var sum [4]float64 // alone, grouped, log, orders
		for round := range storeRounds {
			for way := range sum {
				dir := disk.Dir(filepath.Join(e.Dir, fmt.Sprintf("store-%d-%d-%d", writers, round, way)))
				if err := os.MkdirAll(string(dir), 0o700); err != nil {
					return r, err
				}
				got, err := measureStoreMethod(dir, way, writers, each, payload)
				if err != nil {
					return r, err
				}
				sum[way] += got / storeRounds
				if err := os.RemoveAll(string(dir)); err != nil {
					return r, err
				}
				if ctx.Err() != nil {
					return r, ctx.Err()
				}
			}
		}
		name := fmt.Sprintf("%d writers: ", writers)
		r.AddValue(name+"bare appends a second, synced one by one", sum[0])
		r.AddValue(name+"bare appends a second, synced in groups", sum[1])
		r.AtLeast(name+"records a second by the log, of the grouped", sum[2]/sum[1], 0.8)
		if writers == 64 {
			r.AtLeast(name+"records a second by the log, of those synced one by one", sum[2]/sum[0], 10)
		}
		r.AddValue(name+"orders a second, taken, sent and done", sum[3])
	}
	return r, measureOpening(e, r)
}

func measureStoreMethod(dir disk.Dir, way, writers int, d time.Duration, payload []byte) (float64, error) {
	switch way {
	case 0, 1:
		f, err := dir.Create("bare")
		if err != nil {
			return 0, err
		}
		defer f.Close()
		b := &bareFile{file: f, syncEach: way == 0}
		return measureWrites(writers, d, func(int, int) error { return b.append(payload) })
	case 2:
		l, err := log.Open(dir, log.Options{SegmentSize: storeSegmentBytes}, func(log.Record) error { return nil })
		if err != nil {
			return 0, err
		}
		defer l.Close()
		return measureWrites(writers, d, func(int, int) error { _, err := l.Append(1, payload); return err })
	}
	l, err := ledger.Open(dir, ledger.Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 1 << 20, MaxReceiptBytes: 1 << 30}, SegmentSize: storeSegmentBytes, CompactAfter: 1 << 30},
		ledger.WallClock)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return measureWrites(writers, d, func(w, n int) error {
		name := orders.Name{Tenant: "kiosk", Key: fmt.Sprintf("%d-%d", w, n)}
		if v, _, err := l.Take(orders.Order{Name: name}); err != nil || v != orders.Proceed {
			return fmt.Errorf("%v: %w", v, err)
		}
		if err := l.Send(name, "o-1"); err != nil {
			return err
		}
		return l.End(name, orders.Done, payload[:200], "")
	})
}

// measureOpening measures how long a log of many records takes to open, beside reading its files once, and what memory that takes.
func measureOpening(e *Env, r *Report) error {
	e.Log("store: opening %d records", storeRecords)
	dir := disk.Dir(filepath.Join(e.Dir, "store-open"))
	if err := os.MkdirAll(string(dir), 0o700); err != nil {
		return err
	}
	defer os.RemoveAll(string(dir))
	l, err := log.Open(dir, log.Options{SegmentSize: storeSegmentBytes}, func(log.Record) error { return nil })
	if err != nil {
		return err
	}
	var writers sync.WaitGroup
	var failed atomic.Pointer[error]
	payload := make([]byte, storeRecordBytes)
	for range 512 { // groups of as many
		writers.Go(func() {
			for range storeRecords / 512 {
				if _, err := l.Append(1, payload); err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	writers.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	if err := l.Close(); err != nil {
		return err
	}
	var ratios []float64
	records, most := 0, uint64(0)
	for range storeRounds {
		begun := time.Now()
		names, err := dir.List()
		if err != nil {
			return err
		}
		for _, n := range names {
			f, err := os.Open(filepath.Join(string(dir), n))
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, struct{ io.Reader }{f})
			f.Close()
			if err != nil {
				return err
			}
		}
		read := time.Since(begun)
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		base := m.HeapAlloc
		records = 0
		begun = time.Now()
		l, err := log.Open(dir, log.Options{SegmentSize: storeSegmentBytes}, func(log.Record) error {
			if records++; records%100_000 == 0 {
				runtime.ReadMemStats(&m)
				most = max(most, m.HeapAlloc-min(base, m.HeapAlloc))
			}
			return nil
		})
		if err != nil {
			return err
		}
		ratios = append(ratios, float64(time.Since(begun))/float64(read))
		if err := l.Close(); err != nil {
			return err
		}
	}
	slices.Sort(ratios)
	r.AddValue("records that are opened", float64(records))
	r.AtMost("opening them, of the time to read the files once", ratios[len(ratios)/2], 3)
	r.AtMost("heap while opening, MB", float64(most)/(1<<20), maxOpenHeapMB)
	return nil
}
