package log

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"linenloom/internal/store/disk"
)

// Mended tells what Repair has found and done. Without Twice it has changed nothing.
type Mended struct {
	Twice       bool
	Before      string // the segment of which too much was counted
	At          int64  // how much of it counts
	Spoilt      string // the segment that begins with records of the one before
	First, Last uint64 // the records that stood twice
	File        string // the segment that now holds the records from First on
	Records     int    // how many
}

// Repair mends a log in which a segment begins with records that the one before counts too, and nothing else is wrong: openings up to
// December 2026 left it so where the latest group had more than one record. All that was acknowledged stands in it. It copies each segment
// to a folder that has none, and then writes the records from the first that stands twice on into a segment of their own, as one group:
// after a crash that is whole or does not count. Nothing is removed or changed. It holds those records in memory.
//
// Records that stand twice and differ, and any other damage, are named and left as they are.
func Repair(fs, copies disk.FS) (m Mended, err error) {
	lock, err := fs.Lock("LOCK")
	if err != nil {
		return m, fmt.Errorf("log: %w", err)
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	l := &Log{fs: fs, next: 1}
	all, err := l.segments()
	if err != nil {
		return m, err
	}
	chain, err := l.chain(all)
	if err != nil {
		return m, err
	}
	for i := range chain {
		if i == 0 {
			continue
		}
		found, err := l.twice(&chain[i-1], chain[i])
		if err != nil {
			return m, err
		}
		if found.Twice && !m.Twice {
			m = found
		}
	}
	var from []Record
	if _, err = l.replayAll(chain, func(r Record) error {
		if m.Twice && r.Seq >= m.First {
			r.Payload = slices.Clone(r.Payload)
			from = append(from, r)
		}
		return nil
	}); err != nil {
		return m, err
	}
	if err := l.noneLater(all, latest(chain)); err != nil || !m.Twice {
		return m, err
	}
	if err := copyAll(fs, copies, all); err != nil {
		return m, fmt.Errorf("log: the copy: %w", err)
	}
	i := slices.IndexFunc(chain, func(s link) bool { return name(s.gen) == m.Before })
	l.good, l.goodEnd = chain[i].gen, m.At
	if err := l.settle(from); err != nil {
		return m, err
	}
	m.File, m.Records = name(l.gen), len(from)
	return m, l.file.Close()
}

// twice finds where in a segment the first record of its follower stands, and counts no more than up to there. What stands behind it has
// to be what the follower holds, as far as it can be read: nothing has ever told that it was on stable storage.
func (l *Log) twice(s *link, follower link) (m Mended, err error) {
	f, err := l.fs.Open(name(s.gen))
	if err != nil {
		return m, fmt.Errorf("log: %w", err)
	}
	defer f.Close()
	g, err := l.fs.Open(name(follower.gen))
	if err != nil {
		return m, fmt.Errorf("log: %w", err)
	}
	defer g.Close()
	w := window{f: f, file: name(s.gen), size: min(f.Size(), s.size)}
	v := window{f: g, file: name(follower.gen), size: g.Size()}
	other := int64(headerSize)
	for at, seq := int64(headerSize), s.first; at < w.size; seq++ {
		r, _, _, n, err := w.frame(at)
		if err != nil {
			return m, err
		}
		if n == 0 || r.Seq != seq {
			break // where it counts, the replay names it
		}
		if seq == follower.first {
			m = Mended{Twice: true, Before: w.file, At: at, Spoilt: v.file, First: seq}
		}
		if m.Twice {
			q, _, _, k, err := v.frame(other)
			switch {
			case err != nil:
				return m, err
			case k == 0:
				return m, &Damage{File: v.file, Offset: other, What: fmt.Sprintf("record %d is broken", seq)}
			case q.Seq != seq || q.Kind != r.Kind || !bytes.Equal(q.Payload, r.Payload):
				return m, &Damage{File: v.file, Offset: other, What: fmt.Sprintf("record %d is another than in %s at byte %d", seq, w.file, at)}
			}
			m.Last = seq
			other += int64(k)
		}
		at += int64(n)
	}
	if m.Twice {
		s.size = m.At
	}
	return m, nil
}

// copyAll copies segments into another folder, which must have none of them.
func copyAll(from, to disk.FS, all []segment) error {
	for _, s := range all {
		if err := copyOne(from, to, name(s.gen)); err != nil {
			return err
		}
	}
	return to.SyncDir()
}

func copyOne(from, to disk.FS, name string) error {
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
