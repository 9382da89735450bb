// Package rollout decides whether the new version of a program or of its settings does worse than the old one beside it, while a change goes
// out in stages. It does no I/O, keeps no clock and starts no goroutine. It carries nothing out, and what it can't tell it calls undecided:
// it never takes little traffic for a good sign.
package rollout

import (
	"errors"
	"fmt"
	"math"
)

// Counts are what one side did within a block: requests of one zone in one stretch of time, in which both sides served.
type Counts struct{ Requests, Good int }

// Block is both sides of it. Within a block both meet the same: the same hour, the same cache nodes, the same troubles. From block to block
// the share of good ones may change as it likes.
type Block struct{ Old, New Counts }

// oddsFactors are the harms that a Test looks for, as factors on the odds of a good answer: from a third of them lost down to a few in a hundred.
var oddsFactors = [...]float64{0.97, 0.9, 0.75, 0.5, 0.25, 0.1, 0.03}

// SequentialTest tells by and by whether the new side is worse. It is an e-process: however often and whenever it is looked at, and whatever the traffic,
// it reaches 1/alpha with a chance of at most alpha where the new side is as good as the old or better.
//
// In each block the likelihood of what was seen, at a share a of good ones on the old side and b < a on the new, stands over its likelihood
// at their mean weighted by the requests of each side (Turner, Ly and Gruenwald, "Generic E-variables for exact sequential k-sample tests
// that allow for optional stopping", 2024, theorem 1). Its expectation is at most one where both are equal; where the new side is better it
// is no higher, since the factor of an old answer rises with the old side's share and that of a new answer falls with the new one's. a comes from
// blocks before this one alone, so the product over blocks is a nonnegative supermartingale, and Ville's inequality gives the bound. It is
// exact at any number of requests, and asks for no variance. The mean over several harms is one too.
type SequentialTest struct {
	logEvidence  [len(oddsFactors)]float64 // of the product, by harm
	peakEvidence float64                   // the most that the mean has been
	oldGood      float64                   // of the old side in blocks before, with half a request of each kind to begin with
	oldRequests  float64
	Total        Block
}

// NewSequentialTest makes a Test that has seen nothing.
func NewSequentialTest() *SequentialTest { return &SequentialTest{oldGood: 0.5, oldRequests: 1} }

// ErrInvalidCounts tells of counts that can't be.
var ErrInvalidCounts = errors.New("rollout: more good answers than requests, or fewer than none")

// Add takes a block. One in which a side has nothing tells nothing.
func (t *SequentialTest) Add(b Block) error {
	for _, c := range []Counts{b.Old, b.New} {
		if c.Good < 0 || c.Good > c.Requests {
			return fmt.Errorf("%w: %d of %d", ErrInvalidCounts, c.Good, c.Requests)
		}
	}
	if b.Old.Requests > 0 && b.New.Requests > 0 {
		a := t.oldGood / t.oldRequests
		for i, f := range oddsFactors {
			t.logEvidence[i] += logLikelihoodRatio(b, a, scaleOdds(a, f))
		}
		t.peakEvidence = max(t.peakEvidence, t.Evidence())
	}
	t.oldGood, t.oldRequests = t.oldGood+float64(b.Old.Good), t.oldRequests+float64(b.Old.Requests)
	t.Total.Old.Requests, t.Total.Old.Good = t.Total.Old.Requests+b.Old.Requests, t.Total.Old.Good+b.Old.Good
	t.Total.New.Requests, t.Total.New.Good = t.Total.New.Requests+b.New.Requests, t.Total.New.Good+b.New.Good
	return nil
}

// scaleOdds is the share of good ones whose odds are so many times those of a.
func scaleOdds(a, factor float64) float64 { return a * factor / (a*factor + 1 - a) }

// logLikelihoodRatio is the logarithm of a block's factor.
func logLikelihoodRatio(b Block, old, new float64) float64 {
	na, nb := float64(b.Old.Requests), float64(b.New.Requests)
	mean := (na*old + nb*new) / (na + nb)
	side := func(c Counts, p float64) float64 {
		return float64(c.Good)*math.Log(p/mean) + float64(c.Requests-c.Good)*math.Log((1-p)/(1-mean))
	}
	return side(b.Old, old) + side(b.New, new)
}

// Evidence is how much speaks for the new side being worse: bets against its being as good, at fair odds, would have grown by so much.
func (t *SequentialTest) Evidence() float64 {
	sum := 0.0
	for _, l := range t.logEvidence {
		sum += math.Exp(min(l, 700)) / float64(len(oddsFactors))
	}
	return sum
}

// Worse tells whether the new side has been found worse, with a chance of at most alpha that it is not.
func (t *SequentialTest) Worse(alpha float64) bool { return t.peakEvidence >= 1/alpha }

// normalQuantile90 is the quantile of the standard normal distribution at 0.9.
const normalQuantile90 = 1.2815515655446004

// HasPower tells whether there was so much traffic that a harm of this size (a share of the answers, such as 0.03) would have been found by now
// with nine chances in ten. The growth of the evidence under that harm is a sum over requests; its mean and spread are worked out for the
// share that the old side had and the harm that is looked for and fits best.
func (t *SequentialTest) HasPower(harm, alpha float64) bool {
	na, nb := float64(t.Total.Old.Requests), float64(t.Total.New.Requests)
	if na == 0 || nb == 0 || !(harm > 0) {
		return false
	}
	a := t.oldGood / t.oldRequests
	b := max(1e-6, a-harm)
	for _, f := range oddsFactors {
		c := scaleOdds(a, f)
		mean := (na*a + nb*c) / (na + nb)
		grow, spread := 0.0, 0.0
		for _, s := range []struct{ n, truth, p float64 }{{na, a, a}, {nb, b, c}} {
			hit, miss := math.Log(s.p/mean), math.Log((1-s.p)/(1-mean))
			grow += s.n * (s.truth*hit + (1-s.truth)*miss)
			spread += s.n * s.truth * (1 - s.truth) * (hit - miss) * (hit - miss)
		}
		if grow-normalQuantile90*math.Sqrt(spread) >= math.Log(float64(len(oddsFactors))/alpha) {
			return true
		}
	}
	return false
}
