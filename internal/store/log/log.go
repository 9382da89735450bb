// Package log is an append-only log of records in segments: what is acknowledged is on stable storage, what a crash leaves of the rest is
// left out, and damage that a crash can't explain is named by file and place and never passed over.
//
// It never changes what it has written: an opened log goes on in a new segment, whose header says how much of the one before counts. So
// recovery writes nothing that a crash could tear. It knows nothing of what records mean, and keeps none in memory.
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

// Options set a log's sizes.
type Options struct {
	SegmentSize int64 // a segment that has reached it is followed by another
}

// ErrClosed tells that a log is closed.
var ErrClosed = errors.New("log: closed")

// ErrDamage is wrapped by what tells of damage.
var ErrDamage = errors.New("damaged, by more than a crash")

// Damage tells where a log is damaged.
type Damage struct {
	File      string
	Offset    int64
	Reason    string
	Duplicate bool // records stand there that the segment before counts too: Repair may mend it
}

func (d *Damage) Error() string {
	return fmt.Sprintf("log: %s at byte %d: %s", d.File, d.Offset, d.Reason)
}

// Unwrap makes it ErrDamage.
func (d *Damage) Unwrap() error { return ErrDamage }

// Log is an open log. It is safe for concurrent use.
type Log struct {
	fs      disk.FS
	options Options
	lock    io.Closer

	mu               sync.Mutex
	file             disk.File // nil: the latest segment has failed, or none was begun; the next write begins one
	latestGeneration uint64    // of the latest segment, whatever became of it
	validGeneration  uint64    // of the latest segment that has something durable, or whose header is
	validSize        int64     // how much of it counts
	nextSequence     uint64    // sequence
	durableSequence  uint64    // all up to it is on stable storage
	writing          bool      // one of the callers writes for all
	pendingGroup     *group    // those who wait for the next write
	closed           bool
	idleCond         *sync.Cond // nobody writes
	GroupsWritten    int        // groups that were written, for the rig
}

// group is records that are written and synced together.
type group struct {
	records []Record
	size    int
	done    chan struct{}
	err     error
}

// Open opens the log in a folder, and replays every record that counts, in order. Damage and what replay returns end it.
func Open(fs disk.FS, opt Options, replay func(Record) error) (*Log, error) {
	lock, err := fs.Lock("LOCK")
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	l := &Log{fs: fs, options: opt, lock: lock, nextSequence: 1}
	l.idleCond = sync.NewCond(&l.mu)
	if err := l.recoverRecords(replay); err != nil {
		lock.Close()
		return nil, err
	}
	l.durableSequence = l.nextSequence - 1
	return l, nil
}

// segment is a file of the log, as it was found.
type segment struct {
	fileGeneration uint64
	header
	valid bool
}

func (l *Log) listSegments() (all []segment, err error) {
	names, err := l.fs.List()
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	for _, n := range names {
		text, is := strings.CutSuffix(n, ".log")
		if !is {
			continue // another's
		}
		gen, err := strconv.ParseUint(text, 16, 64)
		if err != nil || segmentName(gen) != n || gen == 0 {
			return nil, &Damage{File: n, Reason: "no segment's name"}
		}
		f, err := l.fs.Open(n)
		if err != nil {
			return nil, fmt.Errorf("log: %w", err)
		}
		s, err := readSegment(f, n, gen)
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// readSegment reads a segment's header. It counts only with the first group behind it: it says how much of the segment before counts, and what it leaves
// out there may stand in that group.
func readSegment(f disk.Reader, file string, gen uint64) (s segment, err error) {
	w := segmentReader{file: f, fileName: file, size: f.Size()}
	b, err := w.readAt(0, headerSize)
	if err != nil {
		return s, err
	}
	s.fileGeneration = gen
	h, foreign, ok := parseHeader(b)
	switch {
	case foreign:
		return s, &Damage{File: file, Reason: "no segment of a version that is known"}
	case !ok:
		return s, nil
	case h.generation != gen:
		return s, &Damage{File: file, Offset: 8, Reason: fmt.Sprintf("its header is of segment %d", h.generation)}
	}
	s.header = h
	for at, seq := int64(headerSize), h.firstSequence; ; seq++ {
		r, _, last, n, err := w.readFrame(at)
		if err != nil || n == 0 || r.Sequence != seq {
			return s, err
		}
		if last {
			s.valid = true
			return s, nil
		}
		at += int64(n)
	}
}

// recoverRecords finds the segments that count and replays them.
func (l *Log) recoverRecords(replay func(Record) error) error {
	all, err := l.listSegments()
	if err != nil {
		return err
	}
	chain, err := l.buildChain(all)
	if err != nil {
		return err
	}
	tail, err := l.replayChain(chain, replay)
	if err != nil {
		return err
	}
	if err := l.checkLaterSegments(all, lastGeneration(chain)); err != nil {
		return err
	}
	return l.rewriteTail(tail)
}

// chainLink is a segment that counts, and how much of it, if another follows it.
type chainLink struct {
	*segment
	size      int64
	sizeKnown bool
}

// lastGeneration is the generation that a chain ends with; 0: of none.
func lastGeneration(chain []chainLink) uint64 {
	if len(chain) == 0 {
		return 0
	}
	return chain[len(chain)-1].fileGeneration
}

// buildChain is the segments that count, oldest first, by the headers from the latest back. It is empty for a new log, and for one whose first
// segment never came to be.
func (l *Log) buildChain(all []segment) (chain []chainLink, err error) {
	byGen := map[uint64]*segment{}
	var last *segment
	for i := range all {
		s := &all[i]
		byGen[s.fileGeneration] = s
		l.latestGeneration = max(l.latestGeneration, s.fileGeneration)
		if s.valid {
			last = s
		}
	}
	if last == nil {
		return nil, nil
	}
	for s, of := last, (chainLink{segment: last}); ; {
		chain = append(chain, of)
		if s.previous == 0 {
			break
		}
		b := byGen[s.previous]
		if b == nil || !b.valid || b.fileGeneration >= s.fileGeneration {
			return nil, &Damage{File: segmentName(s.previous), Reason: fmt.Sprintf("it is missing or its header is broken, and segment %d follows it", s.fileGeneration)}
		}
		s, of = b, chainLink{b, int64(s.previousSize), true}
	}
	slices.Reverse(chain)
	l.nextSequence = chain[0].firstSequence
	return chain, nil
}

// replayChain replays a chain, and returns those records at its end that nothing vouches for.
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

// checkLaterSegments looks into the segments behind the last whose header stands: a crash may have left them without one, but not what follows.
func (l *Log) checkLaterSegments(all []segment, last uint64) error {
	for _, s := range all {
		if s.fileGeneration <= last {
			continue
		}
		f, err := l.fs.Open(segmentName(s.fileGeneration))
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		w := segmentReader{file: f, fileName: segmentName(s.fileGeneration), size: f.Size()}
		err = w.checkTorn(-1, l.nextSequence)
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// rewriteTail has the last records, of which nothing says that they were on stable storage, written anew: that they can be read may be the memory's
// doing, after a sync that failed in a process that has ended since. To count them, and then lose them in a crash, would break what follows.
func (l *Log) rewriteTail(tail []Record) error {
	if len(tail) == 0 {
		return nil
	}
	f, err := l.createNextSegment(tail[0].Sequence)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	var b []byte
	for i, r := range tail {
		b = appendFrame(b, r, tail[0].Sequence-1, i == len(tail)-1)
	}
	if err := writeAndSync(f, b); err != nil {
		f.Close()
		return fmt.Errorf("log: %w", err)
	}
	l.file, l.validGeneration, l.validSize = f, l.latestGeneration, headerSize+int64(len(b))
	return nil
}

// replaySegment goes through a segment: as much of it as its follower says that counts, or, of the last one, up to where a crash may have cut it. Of
// the last one it returns those records that nothing vouches for.
func (l *Log) replaySegment(s chainLink, replay func(Record) error) (tail []Record, err error) {
	file, size, known := segmentName(s.fileGeneration), s.size, s.sizeKnown
	f, err := l.fs.Open(file)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer f.Close()
	if !known {
		size = f.Size()
	} else if f.Size() < size {
		return nil, &Damage{File: file, Offset: f.Size(), Reason: fmt.Sprintf("%d bytes of it count", size)}
	}
	w := segmentReader{file: f, fileName: file, size: size}
	at := int64(headerSize)
	for at < size {
		r, durable, _, n, err := w.readFrame(at)
		if err != nil {
			return nil, err
		}
		if n == 0 || r.Sequence != l.nextSequence {
			if known {
				return nil, &Damage{File: file, Offset: at, Reason: fmt.Sprintf("record %d is broken", l.nextSequence)}
			}
			if err := w.checkTorn(at, l.nextSequence); err != nil {
				return nil, err
			}
			break
		}
		if err := replay(r); err != nil {
			return nil, fmt.Errorf("log: record %d: %w", r.Sequence, err)
		}
		if !known {
			// It vouches for those before it, and for the segment. Only the first of a group vouches for all that stands before
			// its own place: behind it, records of its group stand before the next ones, and nothing has told of them yet.
			if durable >= s.firstSequence && r.Sequence <= durable+1 {
				l.validGeneration, l.validSize = s.fileGeneration, at
			}
			if len(tail) > 0 && tail[0].Sequence <= durable {
				tail = slices.DeleteFunc(tail, func(t Record) bool { return t.Sequence <= durable })
			}
			tail = append(tail, Record{r.Sequence, r.Kind, slices.Clone(r.Payload)})
		}
		l.nextSequence++
		at += int64(n)
	}
	if known {
		l.validGeneration, l.validSize = s.fileGeneration, size
	}
	return tail, nil
}

// Append appends a record, and returns once it is on stable storage. An error tells that it is not known to be: it does not count as
// soon as a later record is acknowledged; after a crash before that it may be there or not. Callers at one time are written and synced together.
func (l *Log) Append(kind byte, payload []byte) (seq uint64, err error) {
	if len(payload) > MaxRecord {
		return 0, fmt.Errorf("log: a record of %d bytes; %d are allowed", len(payload), MaxRecord)
	}
	if kind > MaxKind {
		return 0, fmt.Errorf("log: kind %d; %d is the highest", kind, MaxKind)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, ErrClosed
	}
	g := l.pendingGroup
	if g == nil {
		g = &group{done: make(chan struct{})}
		l.pendingGroup = g
	}
	place := len(g.records)
	g.records = append(g.records, Record{Kind: kind, Payload: payload})
	g.size += frameSize + len(payload)
	if l.writing {
		l.mu.Unlock()
		<-g.done
		l.mu.Lock()
	} else {
		for l.writing = true; l.pendingGroup != nil; { // also for those who come meanwhile
			l.writeGroup()
		}
		l.writing = false
		l.idleCond.Broadcast()
	}
	return g.records[place].Sequence, g.err
}

// writeGroup writes the group that waits. The lock is let go of meanwhile.
func (l *Log) writeGroup() {
	g := l.pendingGroup
	l.pendingGroup = nil
	if l.closed {
		g.err = ErrClosed
		close(g.done)
		return
	}
	b := make([]byte, 0, g.size)
	seq := l.nextSequence
	for i := range g.records {
		g.records[i].Sequence = seq
		b = appendFrame(b, g.records[i], l.durableSequence, i == len(g.records)-1)
		seq++
	}
	file, end := l.file, l.validSize
	if file != nil && end >= l.options.SegmentSize {
		file.Close() // all of it is durable
		file, l.file = nil, nil
	}
	l.mu.Unlock()
	if file == nil {
		file, g.err = l.createNextSegment(seq - uint64(len(g.records)))
	}
	if g.err == nil {
		g.err = writeAndSync(file, b)
	}
	l.mu.Lock()
	if g.err != nil {
		// What has become of these bytes is not known, and asking again would tell wrongly that they are there: the segment is done with. What it
		// has acknowledged counts, and the next one says how much that is.
		if file != nil {
			file.Close()
		}
		l.file = nil
		g.err = fmt.Errorf("log: %w", g.err)
	} else {
		if l.file != file {
			l.file, l.validGeneration, l.validSize = file, l.latestGeneration, headerSize
		}
		l.validSize += int64(len(b))
		l.nextSequence, l.durableSequence = seq, seq-1
		l.GroupsWritten++
	}
	close(g.done)
}

// Compact puts records in the place of all that the log holds: what they say together has to be what all before them says. They are there
// whole or not at all, whatever happens, and only then is what they replace removed. Appends that come meanwhile wait. The mark, a record
// that says nothing, follows them: it is what vouches for them at the next opening.
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
		for l.pendingGroup != nil { // of those who have come meanwhile
			l.writeGroup()
		}
		l.writing = false
		l.idleCond.Broadcast()
	}()
	first, durable := l.nextSequence, l.durableSequence
	l.mu.Unlock()
	file, end, err := l.writeCompacted(first, durable, records, mark)
	l.mu.Lock()
	if l.file != nil {
		l.file.Close() // all of it is durable
		l.file = nil
	}
	if err != nil {
		// What was begun may be whole on the disk, and then is the latest that counts: nothing may be appended to what is older. The next
		// segment follows what counted before, and is later than both.
		return fmt.Errorf("log: compaction: %w", err)
	}
	l.file, l.validGeneration, l.validSize = file, l.latestGeneration, end
	l.nextSequence = first + uint64(len(records)) + 1
	l.durableSequence = l.nextSequence - 1
	return l.removeSegmentsBefore(l.latestGeneration)
}

// writeCompacted begins a chain of its own with the records and the mark. Only one caller at a time is here, without the lock.
func (l *Log) writeCompacted(first, durable uint64, records []Record, mark Record) (_ disk.File, end int64, err error) {
	file, err := l.createSegment(first, 0, 0)
	if err != nil {
		return nil, 0, err
	}
	defer func() {
		if err != nil {
			file.Close()
		}
	}()
	var b []byte
	seq := first
	for i, r := range records {
		if len(r.Payload) > MaxRecord || r.Kind > MaxKind {
			return nil, 0, fmt.Errorf("record %d is too long, or of no kind", i)
		}
		r.Sequence = seq
		b = appendFrame(b, r, durable, i == len(records)-1)
		seq++
	}
	if len(b) > 0 {
		if err = writeAndSync(file, b); err != nil {
			return nil, 0, err
		}
	}
	mark.Sequence = seq
	m := appendFrame(nil, mark, seq-1, true)
	if err = writeAndSync(file, m); err != nil {
		return nil, 0, err
	}
	return file, headerSize + int64(len(b)+len(m)), nil
}

// removeSegmentsBefore removes the segments before one that nothing needs any more. What it can't remove is left for the next time: it is no part of the
// chain.
func (l *Log) removeSegmentsBefore(before uint64) error {
	all, err := l.listSegments()
	if err != nil {
		return err
	}
	for _, s := range all {
		if s.fileGeneration < before {
			err = errors.Join(err, l.fs.Remove(segmentName(s.fileGeneration)))
		}
	}
	if err = errors.Join(err, l.fs.SyncDir()); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// createNextSegment begins a segment after what counts. Only one caller at a time is here, without the lock.
func (l *Log) createNextSegment(first uint64) (disk.File, error) {
	return l.createSegment(first, l.validGeneration, uint64(l.validSize))
}

func (l *Log) createSegment(first, before, size uint64) (disk.File, error) {
	l.latestGeneration++
	f, err := l.fs.Create(segmentName(l.latestGeneration))
	if err != nil {
		return nil, err
	}
	h := header{generation: l.latestGeneration, firstSequence: first, previous: before, previousSize: size}
	if err = writeAndSync(f, h.append(nil)); err == nil {
		err = l.fs.SyncDir()
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// writeAndSync writes and syncs.
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

// Close ends the log. What waits to be written is told so.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	l.closed = true
	for l.writing { // the lock of the folder must not go before the last write
		l.idleCond.Wait()
	}
	var err error
	if l.file != nil {
		err = l.file.Close()
		l.file = nil
	}
	return errors.Join(err, l.lock.Close())
}
