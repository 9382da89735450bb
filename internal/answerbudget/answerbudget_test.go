package answerbudget

import (
	"math/rand/v2"
	"testing"
)

const (
	kib     = 1 << 10
	maxSize = 64 * kib
	limit   = 16 << 20 // for what is accepted
	most    = 24 << 20 // for what is held
	// maxRequests is the maximum number of requests in progress.
	maxRequests = 4096
)

// accepted returns how many requests are accepted ahead of their turn while nothing is held.
func accepted(b *Budget) (n int) {
	for b.MayAccept(0, limit) {
		b.AddExpected(1)
		n++
	}
	b.AddExpected(-n)
	return n
}

// Guards against a start at which nothing is known of the answers and too many requests are accepted: each may
// be answered with the largest value.
func TestUnknownAnswersCountAsTheLargest(t *testing.T) {
	budget := New(maxSize)
	if got, fit := accepted(&budget), limit/maxSize; got > fit || got < fit*8/10 {
		t.Errorf("%d requests are accepted, and %d of the largest answers fit", got, fit)
	}
}

// The expected size follows that of the answers, in both directions, and never exceeds the largest.
func TestExpectedSizeFollowsTheAnswers(t *testing.T) {
	budget := New(maxSize)
	for _, size := range []int{2 * kib, maxSize, kib} {
		for range 400 {
			budget.RecordSize(size)
		}
		if got := budget.expectedSize(); got < size || got > size*5/4+1 {
			t.Errorf("answers of %d bytes are expected to take %d", size, got)
		}
	}
	for range 100 {
		budget.RecordSize(rand.IntN(2) * maxSize)
		if got := budget.expectedSize(); got > maxSize*5/4 {
			t.Fatalf("%d bytes are expected", got)
		}
	}
}

// Guards against answers that together exceed the memory for them: whatever is accepted, answers of the sizes
// that the proxy has lately seen fit, and of larger ones no more is held than the limit.
func TestHeldAnswersStayWithinTheLimit(t *testing.T) {
	for name, sizeOf := range map[string]func(i int) int{
		"equal":          func(int) int { return maxSize },
		"small":          func(int) int { return 2 * kib },
		"mixed":          func(i int) int { return []int{kib, 4 * kib, 16 * kib, maxSize}[i%4] },
		"rarely large":   func(i int) int { return map[bool]int{true: maxSize, false: kib}[i%50 == 0] },
		"suddenly large": func(i int) int { return map[bool]int{true: maxSize, false: kib}[i > 1000] },
	} {
		t.Run(name, func(t *testing.T) {
			budget := New(maxSize)
			held, answers, refused := 0, 0, 0
			var queue []int // sizes of the answers held, in order
			for i := range 20000 {
				if budget.Expected() < maxRequests && budget.MayAccept(held, limit) {
					budget.AddExpected(1)
				}
				for budget.Expected() == maxRequests || budget.Expected() > 0 && !budget.MayAccept(held, limit) { // answers arrive
					size := sizeOf(answers)
					answers++
					budget.AddExpected(-1)
					budget.RecordSize(size)
					if !budget.MayHold(size, held, most) {
						refused++
						break
					}
					held += size * 113 / 100
					queue = append(queue, size*113/100)
				}
				if held > most {
					t.Fatalf("%d bytes are held", held)
				}
				if len(queue) > 0 && i%3 == 0 { // an answer is sent
					held -= queue[0]
					queue = queue[1:]
				}
			}
			if name != "suddenly large" && refused > 0 {
				t.Errorf("%d answers were refused", refused)
			}
		})
	}
}
