package log

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"linenloom/internal/store/disk"
)

// RepairResult tells what Repair has found and done. Without Twice it has changed nothing.
type RepairResult struct {
	Duplicate                     bool
	PrecedingFile                 string // the segment of which too much was counted
	PrecedingSize                 int64  // how much of it counts
	DuplicateFile                 string // the segment that begins with records of the one before
	FirstDuplicate, LastDuplicate uint64 // the records that stood twice
	NewFile                       string // the segment that now holds the records from First on
	RecordsWritten                int    // how many
}

// Repair mends a log in which a segment begins with records that the one before counts too, and nothing else is wrong: openings up to
// December 2026 left it so where the latest group had more than one record. All that was acknowledged stands in it. It copies each segment
// to a folder that has none, and then writes the records from the first that stands twice on into a segment of their own, as one group:
// after a crash that is whole or does not count. Nothing is removed or changed. It holds those records in memory.
//
// Records that stand twice and differ, and any other damage, are named and left as they are.
func Repair(fs, copies disk.FS) (m RepairResult, err error) {
	lock, err := fs.Lock("LOCK")
	if err != nil {
		return m, fmt.Errorf("log: %w", err)
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	l := &Log{fs: fs, nextSequence: 1}
	all, err := l.listSegments()
	if err != nil {
		return m, err
	}
	chain, err := l.buildChain(all)
	if err != nil {
		return m, err
	}
	for i := range chain {
		if i == 0 {
			continue
		}
		found, err := l.findDuplicates(&chain[i-1], chain[i])
		if err != nil {
			return m, err
		}
		if found.Duplicate && !m.Duplicate {
			m = found
		}
	}
	var from []Record
	if _, err = l.replayChain(chain, func(r Record) error {
		if m.Duplicate && r.Sequence >= m.FirstDuplicate {
			r.Payload = slices.Clone(r.Payload)
			from = append(from, r)
		}
		return nil
	}); err != nil {
		return m, err
	}
	if err := l.checkLaterSegments(all, lastGeneration(chain)); err != nil || !m.Duplicate {
		return m, err
	}
	if err := copySegments(fs, copies, all); err != nil {
		return m, fmt.Errorf("log: the copy: %w", err)
	}
	i := slices.IndexFunc(chain, func(s chainLink) bool { return segmentName(s.fileGeneration) == m.PrecedingFile })
	l.validGeneration, l.validSize = chain[i].fileGeneration, m.PrecedingSize
	if err := l.rewriteTail(from); err != nil {
		return m, err
	}
	m.NewFile, m.RecordsWritten = segmentName(l.latestGeneration), len(from)
	return m, l.file.Close()
}

// findDuplicates finds where in a segment the first record of its follower stands, and counts no more than up to there. What stands behind it has
// to be what the follower holds, as far as it can be read: nothing has ever told that it was on stable storage.
func (l *Log) findDuplicates(s *chainLink, follower chainLink) (m RepairResult, err error) {
	f, err := l.fs.Open(segmentName(s.fileGeneration))
	if err != nil {
		return m, fmt.Errorf("log: %w", err)
	}
	defer f.Close()
	g, err := l.fs.Open(segmentName(follower.fileGeneration))
	if err != nil {
		return m, fmt.Errorf("log: %w", err)
	}
	defer g.Close()
	w := segmentReader{file: f, fileName: segmentName(s.fileGeneration), size: min(f.Size(), s.size)}
	v := segmentReader{file: g, fileName: segmentName(follower.fileGeneration), size: g.Size()}
	other := int64(headerSize)
	for at, seq := int64(headerSize), s.firstSequence; at < w.size; seq++ {
		r, _, _, n, err := w.readFrame(at)
		if err != nil {
			return m, err
		}
		if n == 0 || r.Sequence != seq {
			break // where it counts, the replay names it
		}
		if seq == follower.firstSequence {
			m = RepairResult{Duplicate: true, PrecedingFile: w.fileName, PrecedingSize: at, DuplicateFile: v.fileName, FirstDuplicate: seq}
		}
		if m.Duplicate {
			q, _, _, k, err := v.readFrame(other)
			switch {
			case err != nil:
				return m, err
			case k == 0:
				return m, &Damage{File: v.fileName, Offset: other, Reason: fmt.Sprintf("record %d is broken", seq)}
			case q.Sequence != seq || q.Kind != r.Kind || !bytes.Equal(q.Payload, r.Payload):
				return m, &Damage{File: v.fileName, Offset: other, Reason: fmt.Sprintf("record %d is another than in %s at byte %d", seq, w.fileName, at)}
			}
			m.LastDuplicate = seq
			other += int64(k)
		}
		at += int64(n)
	}
	if m.Duplicate {
		s.size = m.PrecedingSize
	}
	return m, nil
}

// copySegments copies segments into another folder, which must have none of them.
func copySegments(from, to disk.FS, all []segment) error {
	for _, s := range all {
		if err := copySegment(from, to, segmentName(s.fileGeneration)); err != nil {
			return err
		}
	}
	return to.SyncDir()
}

func copySegment(from, to disk.FS, name string) error {
	r, err := from.Open(name)
	if err != nil {
		return err
	}
	defer r.Close()
	w, err := to.Create(name)
	if err != nil {
		return err
	}
	_, err = io.Copy(w, io.NewSectionReader(r, 0, r.Size()))
	if err == nil {
		err = w.Sync()
	}
	return errors.Join(err, w.Close())
}
