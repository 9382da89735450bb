package log

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"linenloom/internal/store/disk"
)

// RepairResult describes what Repair has found and done. If Duplicate is false, nothing was changed.
type RepairResult struct {
	Duplicate                     bool
	PrecedingFile                 string // segment whose valid length was declared too long
	PrecedingSize                 int64  // correct valid length of that segment
	DuplicateFile                 string // segment that begins with records of the preceding one
	FirstDuplicate, LastDuplicate uint64 // sequences of the records that occur in both segments
	NewFile                       string // segment that now holds the records from FirstDuplicate on
	RecordsWritten                int    // number of records in NewFile
}

// Repair fixes a log in which a segment begins with records that the preceding segment also contains,
// and which has no other damage. Versions up to December 2026 left such a log when they opened one
// whose latest group had more than one record. All acknowledged records are still in it. Repair copies
// each segment to a folder that contains none, and then writes all records from the first duplicate on
// to a new segment as one group, which after a crash is either complete or not valid. Nothing is
// removed or changed. The rewritten records are held in memory.
//
// Duplicate records that differ, and any other damage, are reported and left as they are.
func Repair(fs, copyTo disk.FS) (result RepairResult, err error) {
	lock, err := fs.Lock("LOCK")
	if err != nil {
		return result, fmt.Errorf("log: %w", err)
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	opened := &Log{fs: fs, nextSequence: 1}
	segments, err := opened.listSegments()
	if err != nil {
		return result, err
	}
	chain, err := opened.buildChain(segments)
	if err != nil {
		return result, err
	}
	for i := range chain {
		if i == 0 {
			continue
		}
		found, err := opened.findDuplicates(&chain[i-1], chain[i])
		if err != nil {
			return result, err
		}
		if found.Duplicate && !result.Duplicate {
			result = found
		}
	}
	var rewritten []Record
	if _, err = opened.replayChain(chain, func(r Record) error {
		if result.Duplicate && r.Sequence >= result.FirstDuplicate {
			r.Payload = slices.Clone(r.Payload)
			rewritten = append(rewritten, r)
		}
		return nil
	}); err != nil {
		return result, err
	}
	if err := opened.checkLaterSegments(segments, lastGeneration(chain)); err != nil || !result.Duplicate {
		return result, err
	}
	if err := copySegments(fs, copyTo, segments); err != nil {
		return result, fmt.Errorf("log: copying the segments: %w", err)
	}
	i := slices.IndexFunc(chain, func(s chainLink) bool { return segmentName(s.fileGeneration) == result.PrecedingFile })
	opened.validGeneration, opened.validSize = chain[i].fileGeneration, result.PrecedingSize
	if err := opened.rewriteTail(rewritten); err != nil {
		return result, err
	}
	result.NewFile, result.RecordsWritten = segmentName(opened.latestGeneration), len(rewritten)
	return result, opened.file.Close()
}

// findDuplicates searches a segment for the first record of its follower and limits the valid length of
// the segment to that record. As far as they are readable, the records after that place must equal
// those of the follower; nothing has ever confirmed them as durable.
func (l *Log) findDuplicates(link *chainLink, follower chainLink) (result RepairResult, err error) {
	file, err := l.fs.Open(segmentName(link.fileGeneration))
	if err != nil {
		return result, fmt.Errorf("log: %w", err)
	}
	defer file.Close()
	followerFile, err := l.fs.Open(segmentName(follower.fileGeneration))
	if err != nil {
		return result, fmt.Errorf("log: %w", err)
	}
	defer followerFile.Close()
	reader := segmentReader{file: file, fileName: segmentName(link.fileGeneration), size: min(file.Size(), link.size)}
	followerReader := segmentReader{file: followerFile, fileName: segmentName(follower.fileGeneration), size: followerFile.Size()}
	followerOffset := int64(headerSize)
	for offset, sequence := int64(headerSize), link.firstSequence; offset < reader.size; sequence++ {
		record, _, _, length, err := reader.readFrame(offset)
		if err != nil {
			return result, err
		}
		if length == 0 || record.Sequence != sequence {
			break // if the record is valid data, the replay reports the damage
		}
		if sequence == follower.firstSequence {
			result = RepairResult{Duplicate: true, PrecedingFile: reader.fileName, PrecedingSize: offset, DuplicateFile: followerReader.fileName, FirstDuplicate: sequence}
		}
		if result.Duplicate {
			duplicate, _, _, duplicateLength, err := followerReader.readFrame(followerOffset)
			switch {
			case err != nil:
				return result, err
			case duplicateLength == 0:
				return result, &Damage{File: followerReader.fileName, Offset: followerOffset, Reason: fmt.Sprintf("record %d is broken", sequence)}
			case duplicate.Sequence != sequence || duplicate.Kind != record.Kind || !bytes.Equal(duplicate.Payload, record.Payload):
				return result, &Damage{File: followerReader.fileName, Offset: followerOffset, Reason: fmt.Sprintf("record %d differs from the one in %s at byte %d", sequence, reader.fileName, offset)}
			}
			result.LastDuplicate = sequence
			followerOffset += int64(duplicateLength)
		}
		offset += int64(length)
	}
	if result.Duplicate {
		link.size = result.PrecedingSize
	}
	return result, nil
}

// copySegments copies segments to another folder, which must not contain any of them.
func copySegments(from, to disk.FS, segments []segment) error {
	for _, s := range segments {
		if err := copySegment(from, to, segmentName(s.fileGeneration)); err != nil {
			return err
		}
	}
	return to.SyncDir()
}

func copySegment(from, to disk.FS, name string) error {
	source, err := from.Open(name)
	if err != nil {
		return err
	}
	defer source.Close()
	target, err := to.Create(name)
	if err != nil {
		return err
	}
	_, err = io.Copy(target, io.NewSectionReader(source, 0, source.Size()))
	if err == nil {
		err = target.Sync()
	}
	return errors.Join(err, target.Close())
}
