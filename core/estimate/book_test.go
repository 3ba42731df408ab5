package estimate_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/estimate"
)

const second = time.Second

// learn records n steps of a queue whose callers are off by a factor of exp(off), one standard
// deviation, about run times that spread by exp(spread) about typical.
func learn(b *estimate.Book, n int, typical time.Duration, spread, off float64) {
	rng := rand.New(rand.NewPCG(7, 11))
	for range n {
		real := float64(typical) * math.Exp(spread*rng.NormFloat64())
		said := real * math.Exp(off*rng.NormFloat64())
		b.Record(second, estimate.Report{Queue: "q", Estimate: time.Duration(said), Took: time.Duration(real)})
	}
}

// Load: a queue that nothing is known of.
func TestWithoutReportsTheCallersWordCounts(t *testing.T) {
	var b estimate.Book
	p := b.Predict("q", "image", 700*time.Millisecond)
	require.Equal(t, 700*time.Millisecond, p.Typical)
	require.Equal(t, p.Typical, p.Mean)
	require.Zero(t, p.Confidence)
	require.Zero(t, b.Predict("q", "", 0))
}

// Load: callers who all say half of what their work takes.
func TestFactorIsLearntWithConfidence(t *testing.T) {
	var b estimate.Book
	before := time.Duration(0)
	for _, n := range []int{1, 3, 10, 60} {
		b = estimate.Book{}
		for i := range n {
			said := time.Duration(300+i*20) * time.Millisecond
			b.Record(second, estimate.Report{Queue: "q", Estimate: said, Took: 2 * said})
		}
		p := b.Predict("q", "", second)
		require.Greater(t, p.Typical, before)
		require.LessOrEqual(t, p.Typical, 2*second+time.Millisecond)
		before = p.Typical
	}
	require.InDelta(t, 1.9, before.Seconds(), 0.1)
	require.Equal(t, second, b.Predict("other", "", second).Typical, "another queue")
}

// Load: estimates that are off by a factor of 2.5 either way about run times that differ little.
func TestNoisyWordCountsForLittle(t *testing.T) {
	var b estimate.Book
	learn(&b, 150, 540*time.Millisecond, 0.3, 0.9)
	low, high := b.Predict("q", "", 150*time.Millisecond), b.Predict("q", "", 2*second)
	require.InDelta(t, 0.54, low.Typical.Seconds(), 0.25)
	require.InDelta(t, 0.54, high.Typical.Seconds(), 0.25)
	require.Greater(t, high.Typical, low.Typical)
}

// Load: estimates that are right about run times that differ much.
func TestGoodWordIsKept(t *testing.T) {
	var b estimate.Book
	learn(&b, 150, 540*time.Millisecond, 0.6, 0.1)
	for _, said := range []time.Duration{150 * time.Millisecond, 2 * second} {
		require.InEpsilon(t, said.Seconds(), b.Predict("q", "", said).Typical.Seconds(), 0.2)
	}
}

// Load: one report in ten is absurd.
func TestOddReportsDoNotPoison(t *testing.T) {
	var b estimate.Book
	odd := 0
	for i := range 200 {
		r := estimate.Report{Queue: "q", Estimate: second, Took: second}
		if i%10 == 9 {
			r.Took = 1000 * time.Hour
		}
		b.Record(second, r)
		if r.IsOdd() {
			odd++
		}
	}
	p := b.Predict("q", "", second)
	require.Equal(t, 20, odd)
	require.Equal(t, int64(20), b.Odd)
	require.InDelta(t, 1.1, p.Typical.Seconds(), 0.1)
	require.InDelta(t, 0.1, p.Tail, 0.02)
}

// Load: runs that were stopped early, and some late.
func TestCutRunsAreNotTakenAsShort(t *testing.T) {
	var b estimate.Book
	for range 50 {
		b.Record(second, estimate.Report{Queue: "q", Kind: estimate.Cut, Estimate: second, Took: 100 * time.Millisecond})
	}
	require.Equal(t, second, b.Predict("q", "", second).Typical)
	for range 50 {
		b.Record(second, estimate.Report{Queue: "q", Kind: estimate.Cut, Estimate: second, Took: 2 * second})
	}
	require.Greater(t, b.Predict("q", "", second).Typical, 1500*time.Millisecond)
}

// Load: two images of one queue, one of them twice as slow as said.
func TestImagesDiffer(t *testing.T) {
	var b estimate.Book
	for range 60 {
		b.Record(second, estimate.Report{Queue: "q", Image: "fast", Estimate: second, Took: second})
		b.Record(second, estimate.Report{Queue: "q", Image: "slow", Estimate: second, Took: 2 * second})
	}
	require.InDelta(t, 1, b.Predict("q", "fast", second).Typical.Seconds(), 0.1)
	require.InDelta(t, 2, b.Predict("q", "slow", second).Typical.Seconds(), 0.2)
}

func TestFailuresAreCountedApart(t *testing.T) {
	var b estimate.Book
	for range 3 {
		b.Record(second, estimate.Report{Queue: "q", Image: "bad", Kind: estimate.Faulty, Estimate: second, Took: time.Millisecond})
	}
	b.Record(second, estimate.Report{Queue: "q", Image: "good", Estimate: second, Took: second})
	require.Equal(t, second, b.Predict("q", "bad", second).Typical)
	require.InDelta(t, 0.75, b.Summaries()[0].Failed, 0.01)
}

// Load: callers whose habit changes.
func TestOldReportsFade(t *testing.T) {
	var b estimate.Book
	for range 300 {
		b.Record(second, estimate.Report{Queue: "q", Estimate: second, Took: 4 * second})
	}
	for range 300 {
		b.Record(40*time.Minute, estimate.Report{Queue: "q", Estimate: second, Took: second})
	}
	require.InDelta(t, 1, b.Predict("q", "", second).Typical.Seconds(), 0.4)
}

func TestEntriesAreBounded(t *testing.T) {
	var b estimate.Book
	for i := range 2000 {
		now := time.Duration(i) * second
		b.Record(now, estimate.Report{Queue: fmt.Sprint("queue-with-a-long-name-", i), Image: fmt.Sprint("image-", i), Estimate: second, Took: second})
	}
	s := b.Store()
	require.LessOrEqual(t, len(s.Queues), 64)
	data, err := json.Marshal(s)
	require.NoError(t, err)
	require.Less(t, len(data), 16<<10)
}

func TestNextOwnerKnowsWhatWasLearnt(t *testing.T) {
	var b, next estimate.Book
	learn(&b, 150, 540*time.Millisecond, 0.3, 0.9)
	data, err := json.Marshal(b.Store())
	require.NoError(t, err)
	var s estimate.Stored
	require.NoError(t, json.Unmarshal(data, &s))
	require.NoError(t, next.Load(2*second, s))
	for _, said := range []time.Duration{150 * time.Millisecond, 2 * second} {
		require.InEpsilon(t, b.Predict("q", "", said).Typical.Seconds(), next.Predict("q", "", said).Typical.Seconds(), 0.05)
	}
}

func TestOddStoredFormsChangeNothing(t *testing.T) {
	sums := func(n float64) []float64 { return []float64{n, 0, n, 0, 0, 0, 0, 0, 0} }
	for name, s := range map[string]estimate.Stored{
		"later form":    {Form: 2, Queues: []estimate.StoredItem{{Queue: "q", Sums: sums(9)}}},
		"no form":       {Queues: []estimate.StoredItem{{Queue: "q", Sums: sums(9)}}},
		"too few sums":  {Form: 1, Queues: []estimate.StoredItem{{Queue: "q", Sums: []float64{1}}}},
		"negative":      {Form: 1, Queues: []estimate.StoredItem{{Queue: "q", Sums: sums(-9)}}},
		"huge":          {Form: 1, Queues: []estimate.StoredItem{{Queue: "q", Sums: sums(1e9)}}},
		"not a number":  {Form: 1, Queues: []estimate.StoredItem{{Queue: "q", Sums: sums(math.NaN())}}},
		"second is odd": {Form: 1, Queues: []estimate.StoredItem{{Queue: "q", Sums: sums(9)}}, Images: []estimate.StoredItem{{}}},
	} {
		var b estimate.Book
		require.Error(t, b.Load(second, s), name)
		require.Equal(t, second, b.Predict("q", "", second).Typical, name)
	}
}

func BenchmarkPredict(b *testing.B) {
	var book estimate.Book
	learn(&book, 150, 540*time.Millisecond, 0.3, 0.9)
	for b.Loop() {
		book.Predict("q", "image", second)
	}
}

// Load: a turn begins, and its short tasks end first.
func TestShortTasksOfATurnDoNotPassForAll(t *testing.T) {
	var b estimate.Book
	began := time.Minute
	for i := range 40 {
		// Tasks of 200 ms end in the first second, those of 1.4 s later; callers say 800 ms.
		r := estimate.Report{Queue: "q", Estimate: 800 * time.Millisecond, Took: 200 * time.Millisecond, Began: began + time.Duration(i)*time.Millisecond}
		b.Record(r.Began+r.Took, r)
	}
	require.Equal(t, 800*time.Millisecond, b.Predict("q", "", 800*time.Millisecond).Typical)
	for i := range 40 {
		r := estimate.Report{Queue: "q", Estimate: 800 * time.Millisecond, Took: 1400 * time.Millisecond, Began: began + time.Duration(i)*time.Millisecond}
		b.Record(r.Began+r.Took, r)
	}
	b.Record(began+5*time.Second, estimate.Report{Queue: "other", Estimate: second, Took: second})
	require.InDelta(t, 0.53, b.Predict("q", "", 800*time.Millisecond).Typical.Seconds(), 0.1)
}
