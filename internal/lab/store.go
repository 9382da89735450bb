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
	storeRecordBytes  = 300 // size of a record, as that of an order's entry
	storeSegmentBytes = 4 << 20
	storeRecords      = 1_000_000 // number of records in the log that is opened
	storeRounds       = 3         // rounds of each method, in turn
	maxOpenHeapMB     = 64        // that opening may take in addition to the bound of the records
)

// bareFile is a file that is appended to and synced without the log's framing and checks: each append by
// itself, or in groups as the log forms them.
type bareFile struct {
	mu       sync.Mutex
	file     disk.File
	syncEach bool
	writing  bool
	pending  []byte
	done     chan struct{}
	err      error
}

func (bare *bareFile) append(b []byte) error {
	bare.mu.Lock()
	defer bare.mu.Unlock()
	if bare.syncEach {
		if _, err := bare.file.Write(b); err != nil {
			return err
		}
		return bare.file.Sync()
	}
	if bare.done == nil {
		bare.done = make(chan struct{})
	}
	bare.pending = append(bare.pending, b...)
	done := bare.done
	if bare.writing {
		bare.mu.Unlock()
		<-done
		bare.mu.Lock()
		return bare.err
	}
	for bare.writing = true; bare.done != nil; {
		group, groupSynced := bare.pending, bare.done
		bare.pending, bare.done = nil, nil
		bare.mu.Unlock()
		_, err := bare.file.Write(group)
		if err == nil {
			err = bare.file.Sync()
		}
		bare.mu.Lock()
		bare.err = err
		close(groupSynced)
	}
	bare.writing = false
	return bare.err
}

// measureWrites runs the given number of writers for a while and returns the writes per second.
func measureWrites(writers int, duration time.Duration, write func(writer, n int) error) (float64, error) {
	var writes atomic.Int64
	var firstError atomic.Pointer[error]
	var group sync.WaitGroup
	start := time.Now()
	for w := range writers {
		group.Go(func() {
			for i := 0; time.Since(start) < duration && firstError.Load() == nil; i++ {
				if err := write(w, i); err != nil {
					firstError.Store(&err)
				}
				writes.Add(1)
			}
		})
	}
	group.Wait()
	if err := firstError.Load(); err != nil {
		return 0, *err
	}
	return float64(writes.Load()) / time.Since(start).Seconds(), nil
}

// Store runs the scenario of the log and the record of orders on this machine's disk, compared with bare
// appends to a file.
func Store(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "store"}
	partTime := max(500*time.Millisecond, time.Duration(env.Seconds)*time.Second/(12*storeRounds))
	payload := make([]byte, storeRecordBytes)
	for _, writers := range []int{1, 16, 64} {
		env.Log("store: %d writers", writers)
		var rates [4]float64 // bare appends, bare appends in groups, log, record of orders
		for round := range storeRounds {
			for method := range rates {
				dir := disk.Dir(filepath.Join(env.Dir, fmt.Sprintf("store-%d-%d-%d", writers, round, method)))
				if err := os.MkdirAll(string(dir), 0o700); err != nil {
					return report, err
				}
				rate, err := measureStoreMethod(dir, method, writers, partTime, payload)
				if err != nil {
					return report, err
				}
				rates[method] += rate / storeRounds
				if err := os.RemoveAll(string(dir)); err != nil {
					return report, err
				}
				if ctx.Err() != nil {
					return report, ctx.Err()
				}
			}
		}
		name := fmt.Sprintf("%d writers: ", writers)
		report.AddValue(name+"bare appends a second, synced one by one", rates[0])
		report.AddValue(name+"bare appends a second, synced in groups", rates[1])
		report.AtLeast(name+"records a second by the log, of the grouped", rates[2]/rates[1], 0.8)
		if writers == 64 {
			report.AtLeast(name+"records a second by the log, of those synced one by one", rates[2]/rates[0], 10)
		}
		report.AddValue(name+"orders a second, taken, sent and done", rates[3])
	}
	return report, measureOpening(env, report)
}

func measureStoreMethod(dir disk.Dir, method, writers int, duration time.Duration, payload []byte) (float64, error) {
	switch method {
	case 0, 1:
		file, err := dir.Create("bare")
		if err != nil {
			return 0, err
		}
		defer file.Close()
		bare := &bareFile{file: file, syncEach: method == 0}
		return measureWrites(writers, duration, func(int, int) error { return bare.append(payload) })
	case 2:
		recordLog, err := log.Open(dir, log.Options{SegmentSize: storeSegmentBytes}, func(log.Record) error { return nil })
		if err != nil {
			return 0, err
		}
		defer recordLog.Close()
		return measureWrites(writers, duration, func(int, int) error { _, err := recordLog.Append(1, payload); return err })
	}
	record, err := ledger.Open(dir, ledger.Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 1 << 20, MaxReceiptBytes: 1 << 30}, SegmentSize: storeSegmentBytes, CompactAfter: 1 << 30},
		ledger.WallClock)
	if err != nil {
		return 0, err
	}
	defer record.Close()
	return measureWrites(writers, duration, func(w, n int) error {
		name := orders.Name{Tenant: "kiosk", Key: fmt.Sprintf("%d-%d", w, n)}
		if verdict, _, err := record.Take(orders.Order{Name: name}); err != nil || verdict != orders.Proceed {
			return fmt.Errorf("order %v: %w", verdict, err)
		}
		if err := record.Send(name, "o-1"); err != nil {
			return err
		}
		return record.End(name, orders.Done, payload[:200], "")
	})
}

// measureOpening compares the time to open a log of many records with that to read its files once, and
// measures the memory that opening takes.
func measureOpening(env *Env, report *Report) error {
	env.Log("store: opening %d records", storeRecords)
	dir := disk.Dir(filepath.Join(env.Dir, "store-open"))
	if err := os.MkdirAll(string(dir), 0o700); err != nil {
		return err
	}
	defer os.RemoveAll(string(dir))
	recordLog, err := log.Open(dir, log.Options{SegmentSize: storeSegmentBytes}, func(log.Record) error { return nil })
	if err != nil {
		return err
	}
	var writers sync.WaitGroup
	var firstError atomic.Pointer[error]
	payload := make([]byte, storeRecordBytes)
	for range 512 { // to form groups of that size
		writers.Go(func() {
			for range storeRecords / 512 {
				if _, err := recordLog.Append(1, payload); err != nil {
					firstError.Store(&err)
					return
				}
			}
		})
	}
	writers.Wait()
	if err := firstError.Load(); err != nil {
		return *err
	}
	if err := recordLog.Close(); err != nil {
		return err
	}
	var ratios []float64
	records, maxHeap := 0, uint64(0)
	for range storeRounds {
		start := time.Now()
		names, err := dir.List()
		if err != nil {
			return err
		}
		for _, name := range names {
			file, err := os.Open(filepath.Join(string(dir), name))
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, struct{ io.Reader }{file})
			file.Close()
			if err != nil {
				return err
			}
		}
		readTime := time.Since(start)
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		heapBefore := stats.HeapAlloc
		records = 0
		start = time.Now()
		opened, err := log.Open(dir, log.Options{SegmentSize: storeSegmentBytes}, func(log.Record) error {
			if records++; records%100_000 == 0 {
				runtime.ReadMemStats(&stats)
				maxHeap = max(maxHeap, stats.HeapAlloc-min(heapBefore, stats.HeapAlloc))
			}
			return nil
		})
		if err != nil {
			return err
		}
		ratios = append(ratios, float64(time.Since(start))/float64(readTime))
		if err := opened.Close(); err != nil {
			return err
		}
	}
	slices.Sort(ratios)
	report.AddValue("records that are opened", float64(records))
	report.AtMost("opening them, of the time to read the files once", ratios[len(ratios)/2], 3)
	report.AtMost("heap while opening, MB", float64(maxHeap)/(1<<20), maxOpenHeapMB)
	return nil
}
