// Package answerbudget keeps the answers that wait for their turn, or for their client to read, within the
// memory for them. Clients may send many requests at once, and answers have to be sent in the order of the
// requests: all that arrive early are held, and what a request will be answered with is unknown until then.
//
// So memory is set aside for the answer of each request that is accepted ahead of its turn, as much as
// answers have taken lately. Further requests are not read until their answers fit. If answers turn out to
// be larger than expected, those that no longer fit are not kept.
//
// The package uses no I/O, clock or goroutines. The caller counts the bytes that are held.
package answerbudget

import "math"

const (
	// averagedAnswers is over about how many of the latest answers sizes are averaged.
	averagedAnswers = 32
	// deviationFactor is by how many mean deviations an answer is expected to exceed the mean.
	deviationFactor = 2
	// roundingPercent is by how much an allocation may exceed the size of what it holds.
	roundingPercent = 13
)

// Budget decides which requests are accepted ahead of their turn, and which answers are held.
type Budget struct {
	maxSize         int     // the largest answer
	expected        int     // requests in progress whose answers will have to be held if they arrive now
	mean, deviation float64 // of the sizes of recent answers
}

// New returns a Budget that expects all answers to have the largest size until enough others were seen.
func New(maxSize int) Budget { return Budget{maxSize: maxSize, mean: float64(maxSize)} }

// RecordSize records the size of an answer.
func (b *Budget) RecordSize(size int) {
	difference := float64(size) - b.mean
	b.mean += difference / averagedAnswers
	b.deviation += (math.Abs(difference) - b.deviation) / averagedAnswers
}

// expectedSize returns the memory that is set aside for an answer.
func (b *Budget) expectedSize() int {
	return allocationSize(int(min(float64(b.maxSize), b.mean+deviationFactor*b.deviation)))
}

func allocationSize(size int) int { return size * (100 + roundingPercent) / 100 }

// AddExpected changes the number of requests whose answers will have to be held if they arrive now.
func (b *Budget) AddExpected(n int) { b.expected += n }

// Expected returns the number of requests whose answers will have to be held if they arrive now.
func (b *Budget) Expected() int { return b.expected }

// MayAccept reports whether one more request may be accepted ahead of its turn, given the bytes held and
// their limit for that.
func (b *Budget) MayAccept(held, limit int) bool {
	return held+(b.expected+1)*b.expectedSize() <= limit
}

// MayHold reports whether an answer of a size may be held, given the bytes held and their limit for that. The
// limit should be the higher one: what is held for clients that read slowly is not expected.
func (b *Budget) MayHold(size, held, limit int) bool { return held+allocationSize(size) <= limit }
