// Package log implements an append-only log of records in segment files. Acknowledged records are on
// stable storage. Records that a crash left incomplete are dropped at the next opening. Damage that a
// crash cannot explain is reported with file and offset and is never skipped.
//
// The log never changes data that it has written: after an opening it continues in a new segment, whose
// header records how much of the previous segment is valid. Recovery therefore writes nothing that a
// crash could corrupt. The package does not interpret records and keeps none in memory.
package log

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"linenloom/internal/store/disk"
)

// Options configures a log.
type Options struct {
	SegmentSize int64 // a segment that reaches this size is followed by a new one
}

// ErrClosed reports that the log is closed.
var ErrClosed = errors.New("log: closed")

// ErrDamage is wrapped by every Damage.
var ErrDamage = errors.New("damaged, by more than a crash")

// Damage is an error that describes where a log is damaged.
type Damage struct {
	File      string
	Offset    int64
	Reason    string
	Duplicate bool // records of the previous segment are repeated there; Repair may fix it
}

func (d *Damage) Error() string {
	return fmt.Sprintf("log: %s at byte %d: %s", d.File, d.Offset, d.Reason)
}

// Unwrap returns ErrDamage.
func (d *Damage) Unwrap() error { return ErrDamage }

// Log is an open log. It is safe for concurrent use.
type Log struct {
	fs      disk.FS
	options Options
	lock    io.Closer

	mu               sync.Mutex
	file             disk.File // nil: no segment was created or the latest one has failed; the next write creates one
	latestGeneration uint64    // of the latest segment, whether or not it is valid
	validGeneration  uint64    // of the latest segment with a durable record or header
	validSize        int64     // valid bytes of that segment
	nextSequence     uint64    // of the next record
	durableSequence  uint64    // all records up to it are on stable storage
	writing          bool      // one caller of Append is writing for all
	pendingGroup     *group    // records that wait for the next write
	closed           bool
	idleCond         *sync.Cond // signaled when writing becomes false
	GroupsWritten    int        // for tests and benchmarks
}

// group is a set of records that are written and synced together.
type group struct {
	records []Record
	size    int
	done    chan struct{}
	err     error
}

// Open opens the log in a folder and calls replay for every valid record in order. It fails on damage
// and on an error from replay.
func Open(fs disk.FS, options Options, replay func(Record) error) (*Log, error) {
	lock, err := fs.Lock("LOCK")
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	l := &Log{fs: fs, options: options, lock: lock, nextSequence: 1}
	l.idleCond = sync.NewCond(&l.mu)
	if err := l.recoverRecords(replay); err != nil {
		lock.Close()
		return nil, err
	}
	l.durableSequence = l.nextSequence - 1
	return l, nil
}

// segment is a file of the log as found at the opening.
type segment struct {
	fileGeneration uint64
	header
	valid bool
}

func (l *Log) listSegments() (segments []segment, err error) {
	names, err := l.fs.List()
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	for _, fileName := range names {
		text, isSegment := strings.CutSuffix(fileName, ".log")
		if !isSegment {
			continue // a file of another component
		}
		generation, err := strconv.ParseUint(text, 16, 64)
		if err != nil || segmentName(generation) != fileName || generation == 0 {
			return nil, &Damage{File: fileName, Reason: "no segment's name"}
		}
		file, err := l.fs.Open(fileName)
		if err != nil {
			return nil, fmt.Errorf("log: %w", err)
		}
		found, err := readSegment(file, fileName, generation)
		file.Close()
		if err != nil {
			return nil, err
		}
		segments = append(segments, found)
	}
	return segments, nil
}

// readSegment reads the header of a segment. The segment is valid only if its first group is complete:
// the header limits the valid part of the previous segment, and records beyond that limit may have been
// rewritten in this group.
func readSegment(file disk.Reader, fileName string, generation uint64) (found segment, err error) {
	reader := segmentReader{file: file, fileName: fileName, size: file.Size()}
	data, err := reader.readAt(0, headerSize)
	if err != nil {
		return found, err
	}
	found.fileGeneration = generation
	h, foreign, ok := parseHeader(data)
	switch {
	case foreign:
		return found, &Damage{File: fileName, Reason: "no segment of a version that is known"}
	case !ok:
		return found, nil
	case h.generation != generation:
		return found, &Damage{File: fileName, Offset: 8, Reason: fmt.Sprintf("its header is of segment %d", h.generation)}
	}
	found.header = h
	for offset, sequence := int64(headerSize), h.firstSequence; ; sequence++ {
		r, _, last, n, err := reader.readFrame(offset)
		if err != nil || n == 0 || r.Sequence != sequence {
			return found, err
		}
		if last {
			found.valid = true
			return found, nil
		}
		offset += int64(n)
	}
}

// recoverRecords determines the valid segments and replays them.
func (l *Log) recoverRecords(replay func(Record) error) error {
	segments, err := l.listSegments()
	if err != nil {
		return err
	}
	chain, err := l.buildChain(segments)
	if err != nil {
		return err
	}
	tail, err := l.replayChain(chain, replay)
	if err != nil {
		return err
	}
	if err := l.checkLaterSegments(segments, lastGeneration(chain)); err != nil {
		return err
	}
	return l.rewriteTail(tail)
}

// chainLink is a valid segment. If another one follows it, size is its valid length.
type chainLink struct {
	*segment
	size      int64
	sizeKnown bool
}

// lastGeneration returns the generation of the last segment of a chain, or 0 if the chain is empty.
func lastGeneration(chain []chainLink) uint64 {
	if len(chain) == 0 {
		return 0
	}
	return chain[len(chain)-1].fileGeneration
}

// buildChain returns the valid segments, oldest first. It follows the headers backwards from the latest
// valid segment. The chain is empty for a new log and for a log whose first segment was not completed.
func (l *Log) buildChain(segments []segment) (chain []chainLink, err error) {
	byGeneration := map[uint64]*segment{}
	var last *segment
	for i := range segments {
		s := &segments[i]
		byGeneration[s.fileGeneration] = s
		l.latestGeneration = max(l.latestGeneration, s.fileGeneration)
		if s.valid {
			last = s
		}
	}
	if last == nil {
		return nil, nil
	}
	for s, link := last, (chainLink{segment: last}); ; {
		chain = append(chain, link)
		if s.previous == 0 {
			break
		}
		previous := byGeneration[s.previous]
		if previous == nil || !previous.valid || previous.fileGeneration >= s.fileGeneration {
			return nil, &Damage{File: segmentName(s.previous), Reason: fmt.Sprintf("it is missing or its header is broken, and segment %d follows it", s.fileGeneration)}
		}
		s, link = previous, chainLink{previous, int64(s.previousSize), true}
	}
	slices.Reverse(chain)
	l.nextSequence = chain[0].firstSequence
	return chain, nil
}

// replayChain replays the segments of a chain and returns the records at its end that no later record
// confirms as durable.
func (l *Log) replayChain(chain []chainLink, replay func(Record) error) (tail []Record, err error) {
	for _, s := range chain {
		if s.firstSequence != l.nextSequence {
			d := &Damage{File: segmentName(s.fileGeneration), Offset: 16, Reason: fmt.Sprintf("it begins with record %d, not %d", s.firstSequence, l.nextSequence)}
			if d.Duplicate = s.firstSequence < l.nextSequence; d.Duplicate {
				d.Reason += fmt.Sprintf(": records %d to %d stand in segment %d too", s.firstSequence, l.nextSequence-1, s.previous)
			}
			return nil, d
		}
		if tail, err = l.replaySegment(s, replay); err != nil {
			return nil, err
		}
	}
	return tail, nil
}

// checkLaterSegments checks the segments after the last valid one. A crash may leave such a segment
// without a valid header or a complete first group. Damage is reported if it holds a record that states
// that the next record of the log, which was not found, was durable.
func (l *Log) checkLaterSegments(segments []segment, generation uint64) error {
	for _, s := range segments {
		if s.fileGeneration <= generation {
			continue
		}
		f, err := l.fs.Open(segmentName(s.fileGeneration))
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		reader := segmentReader{file: f, fileName: segmentName(s.fileGeneration), size: f.Size()}
		err = reader.checkTorn(-1, l.nextSequence)
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// rewriteTail writes the last records, which nothing confirms as durable, to a new segment. They may be
// readable only from the page cache, after a failed sync in a process that has since ended. If they
// were accepted and then lost in a crash, the records that follow would no longer be valid.
func (l *Log) rewriteTail(tail []Record) error {
	if len(tail) == 0 {
		return nil
	}
	file, err := l.createNextSegment(tail[0].Sequence)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	var frames []byte
	for i, r := range tail {
		frames = appendFrame(frames, r, tail[0].Sequence-1, i == len(tail)-1)
	}
	if err := writeAndSync(file, frames); err != nil {
		file.Close()
		return fmt.Errorf("log: %w", err)
	}
	l.file, l.validGeneration, l.validSize = file, l.latestGeneration, headerSize+int64(len(frames))
	return nil
}

// replaySegment replays the part of a segment that its successor declares valid, or, for the last
// segment, everything up to the place where a crash may have truncated it. For the last segment it
// returns the records that no later record confirms as durable.
func (l *Log) replaySegment(link chainLink, replay func(Record) error) (tail []Record, err error) {
	fileName, size, sizeKnown := segmentName(link.fileGeneration), link.size, link.sizeKnown
	file, err := l.fs.Open(fileName)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer file.Close()
	if !sizeKnown {
		size = file.Size()
	} else if file.Size() < size {
		return nil, &Damage{File: fileName, Offset: file.Size(), Reason: fmt.Sprintf("%d bytes of it count", size)}
	}
	reader := segmentReader{file: file, fileName: fileName, size: size}
	offset := int64(headerSize)
	for offset < size {
		r, durable, _, length, err := reader.readFrame(offset)
		if err != nil {
			return nil, err
		}
		if length == 0 || r.Sequence != l.nextSequence {
			if sizeKnown {
				return nil, &Damage{File: fileName, Offset: offset, Reason: fmt.Sprintf("record %d is broken", l.nextSequence)}
			}
			if err := reader.checkTorn(offset, l.nextSequence); err != nil {
				return nil, err
			}
			break
		}
		if err := replay(r); err != nil {
			return nil, fmt.Errorf("log: record %d: %w", r.Sequence, err)
		}
		if !sizeKnown {
			// The record states that all records up to durable are on stable storage. All records of a
			// group state the same: if records 5 to 7 are a group, each states that record 4 is durable.
			// Record 5, for which 5 <= 4+1, therefore confirms all data before its own offset. The data
			// before record 6 includes record 5, which nothing has confirmed yet.
			if durable >= link.firstSequence && r.Sequence <= durable+1 {
				l.validGeneration, l.validSize = link.fileGeneration, offset
			}
			if len(tail) > 0 && tail[0].Sequence <= durable {
				tail = slices.DeleteFunc(tail, func(t Record) bool { return t.Sequence <= durable })
			}
			tail = append(tail, Record{r.Sequence, r.Kind, slices.Clone(r.Payload)})
		}
		l.nextSequence++
		offset += int64(length)
	}
	if sizeKnown {
		l.validGeneration, l.validSize = link.fileGeneration, size
	}
	return tail, nil
}

// Append appends a record and returns once it is on stable storage. After an error the record is not
// known to be durable. It is not part of the log once a later record is acknowledged; after a crash
// before that it may or may not be present. Concurrent callers are written and synced together.
func (l *Log) Append(kind byte, payload []byte) (seq uint64, err error) {
	if len(payload) > MaxRecord {
		return 0, fmt.Errorf("log: a record of %d bytes; %d are allowed", len(payload), MaxRecord)
	}
	if kind > MaxKind {
		return 0, fmt.Errorf("log: record kind %d exceeds the maximum of %d", kind, MaxKind)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, ErrClosed
	}
	pending := l.pendingGroup
	if pending == nil {
		pending = &group{done: make(chan struct{})}
		l.pendingGroup = pending
	}
	index := len(pending.records)
	pending.records = append(pending.records, Record{Kind: kind, Payload: payload})
	pending.size += frameSize + len(payload)
	if l.writing {
		l.mu.Unlock()
		<-pending.done
		l.mu.Lock()
	} else {
		for l.writing = true; l.pendingGroup != nil; { // includes records that other callers add during a write
			l.writeGroup()
		}
		l.writing = false
		l.idleCond.Broadcast()
	}
	return pending.records[index].Sequence, pending.err
}

// writeGroup writes the pending group. The caller holds the lock, which is released during the write.
func (l *Log) writeGroup() {
	written := l.pendingGroup
	l.pendingGroup = nil
	if l.closed {
		written.err = ErrClosed
		close(written.done)
		return
	}
	frames := make([]byte, 0, written.size)
	sequence := l.nextSequence
	for i := range written.records {
		written.records[i].Sequence = sequence
		frames = appendFrame(frames, written.records[i], l.durableSequence, i == len(written.records)-1)
		sequence++
	}
	file, size := l.file, l.validSize
	if file != nil && size >= l.options.SegmentSize {
		file.Close() // all of its data is durable
		file, l.file = nil, nil
	}
	l.mu.Unlock()
	if file == nil {
		file, written.err = l.createNextSegment(sequence - uint64(len(written.records)))
	}
	if written.err == nil {
		written.err = writeAndSync(file, frames)
	}
	l.mu.Lock()
	if written.err != nil {
		// It is unknown whether these bytes are on the disk, and a second sync could wrongly report
		// success. The segment is therefore abandoned. Its acknowledged records remain valid, and the
		// header of the next segment records how many bytes that is.
		if file != nil {
			file.Close()
		}
		l.file = nil
		written.err = fmt.Errorf("log: %w", written.err)
	} else {
		if l.file != file {
			l.file, l.validGeneration, l.validSize = file, l.latestGeneration, headerSize
		}
		l.validSize += int64(len(frames))
		l.nextSequence, l.durableSequence = sequence, sequence-1
		l.GroupsWritten++
	}
	close(written.done)
}

// Compact replaces the content of the log with the given records, which must be equivalent to all
// records so far. After a crash they are either all present or none of them is, and the old segments
// are removed only after that is certain. Concurrent appends wait. The mark, a record without content,
// is written after the records and confirms them as durable at the next opening.
func (l *Log) Compact(records []Record, mark Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.writing && !l.closed {
		l.idleCond.Wait()
	}
	if l.closed {
		return ErrClosed
	}
	l.writing = true
	defer func() {
		for l.pendingGroup != nil { // records that other callers added during the compaction
			l.writeGroup()
		}
		l.writing = false
		l.idleCond.Broadcast()
	}()
	first, durable := l.nextSequence, l.durableSequence
	l.mu.Unlock()
	file, size, err := l.writeCompacted(first, durable, records, mark)
	l.mu.Lock()
	if l.file != nil {
		l.file.Close() // all of its data is durable
		l.file = nil
	}
	if err != nil {
		// The new segment may be complete on the disk and would then be the latest valid one, so
		// nothing may be appended to an older segment. The header of the next segment refers to the data
		// that was valid before the compaction, and its generation is above that of the failed segment.
		return fmt.Errorf("log: compaction: %w", err)
	}
	l.file, l.validGeneration, l.validSize = file, l.latestGeneration, size
	l.nextSequence = first + uint64(len(records)) + 1
	l.durableSequence = l.nextSequence - 1
	return l.removeSegmentsBefore(l.latestGeneration)
}

// writeCompacted starts a new chain with the records and the mark. It is called without the lock, by
// one caller at a time.
func (l *Log) writeCompacted(first, durable uint64, records []Record, mark Record) (_ disk.File, size int64, err error) {
	file, err := l.createSegment(first, 0, 0)
	if err != nil {
		return nil, 0, err
	}
	defer func() {
		if err != nil {
			file.Close()
		}
	}()
	var frames []byte
	sequence := first
	for i, r := range records {
		if len(r.Payload) > MaxRecord || r.Kind > MaxKind {
			return nil, 0, fmt.Errorf("record %d is too long or its kind is invalid", i)
		}
		r.Sequence = sequence
		frames = appendFrame(frames, r, durable, i == len(records)-1)
		sequence++
	}
	if len(frames) > 0 {
		if err = writeAndSync(file, frames); err != nil {
			return nil, 0, err
		}
	}
	mark.Sequence = sequence
	markFrame := appendFrame(nil, mark, sequence-1, true)
	if err = writeAndSync(file, markFrame); err != nil {
		return nil, 0, err
	}
	return file, headerSize + int64(len(frames)+len(markFrame)), nil
}

// removeSegmentsBefore removes all segments older than the given generation. A segment that cannot be
// removed is not part of the chain and is left for the next compaction.
func (l *Log) removeSegmentsBefore(generation uint64) error {
	segments, err := l.listSegments()
	if err != nil {
		return err
	}
	for _, s := range segments {
		if s.fileGeneration < generation {
			err = errors.Join(err, l.fs.Remove(segmentName(s.fileGeneration)))
		}
	}
	if err = errors.Join(err, l.fs.SyncDir()); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// createNextSegment creates a segment that follows the valid data. It is called without the lock, by
// one caller at a time.
func (l *Log) createNextSegment(first uint64) (disk.File, error) {
	return l.createSegment(first, l.validGeneration, uint64(l.validSize))
}

// createSegment creates a segment and writes its header. previous is the generation that it follows, or
// 0.
func (l *Log) createSegment(first, previous, size uint64) (disk.File, error) {
	l.latestGeneration++
	file, err := l.fs.Create(segmentName(l.latestGeneration))
	if err != nil {
		return nil, err
	}
	h := header{generation: l.latestGeneration, firstSequence: first, previous: previous, previousSize: size}
	if err = writeAndSync(file, h.append(nil)); err == nil {
		err = l.fs.SyncDir()
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// writeAndSync appends b to a file and syncs it.
func writeAndSync(f disk.File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return err
	}
	return f.Sync()
}

// Close closes the log. Records that wait to be written fail with ErrClosed.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	l.closed = true
	for l.writing { // the folder must stay locked until the last write is finished
		l.idleCond.Wait()
	}
	var err error
	if l.file != nil {
		err = l.file.Close()
		l.file = nil
	}
	return errors.Join(err, l.lock.Close())
}
