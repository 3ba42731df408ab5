package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthwind/core/limit"
)

var start = time.Unix(1_800_000_000, 0)

func newLedger(teamLimit int, pools ...string) *limit.Ledger {
	return limit.New(limit.Activation{Team: "a", Epoch: 1, Limit: teamLimit, Pools: pools, First: true})
}

func TestLedgerDividesContendedLimitEvenly(t *testing.T) {
	l := newLedger(10, "p", "q")
	a, ok := l.HandleReport(start, limit.Report{HomeEpoch: 1, Pool: "p", PoolEpoch: 1, Seq: 1, Want: 8})
	require.True(t, ok)
	require.Equal(t, 8, a.Granted)
	a, _ = l.HandleReport(start, limit.Report{HomeEpoch: 1, Pool: "q", PoolEpoch: 1, Seq: 1, Want: 8})
	require.Equal(t, 2, a.Granted)
	require.Equal(t, 5, a.Target)
	a, _ = l.HandleReport(start, limit.Report{HomeEpoch: 1, Pool: "p", PoolEpoch: 1, Seq: 2, Held: 8, Want: 4})
	require.Equal(t, 8, a.Granted)
	require.Equal(t, 5, a.Target, "a contended limit is divided evenly")
	l.HandleReport(start, limit.Report{HomeEpoch: 1, Pool: "p", PoolEpoch: 1, Seq: 3, Held: 5, Want: 4})
	a, _ = l.HandleReport(start, limit.Report{HomeEpoch: 1, Pool: "q", PoolEpoch: 1, Seq: 2, Held: 2, Want: 6})
	require.Equal(t, 5, a.Granted)
}

func TestLedgerIgnoresOutdatedReports(t *testing.T) {
	l := newLedger(10, "p")
	l.HandleReport(start, limit.Report{HomeEpoch: 1, Pool: "p", PoolEpoch: 2, Seq: 5, Want: 3})
	for _, r := range []limit.Report{
		{HomeEpoch: 1, Pool: "p", PoolEpoch: 2, Seq: 5, Held: 0},
		{HomeEpoch: 1, Pool: "p", PoolEpoch: 2, Seq: 4, Held: 0},
		{HomeEpoch: 1, Pool: "p", PoolEpoch: 1, Seq: 9, Held: 0},
		{HomeEpoch: 0, Pool: "p", PoolEpoch: 3, Seq: 1, Held: 0},
	} {
		_, ok := l.HandleReport(start, r)
		require.False(t, ok, "%+v", r)
	}
	a, _ := l.HandleReport(start, limit.Report{HomeEpoch: 1, Pool: "p", PoolEpoch: 3, Seq: 1, Held: -1})
	require.Equal(t, 3, a.Granted, "a new owner learns what its pool holds")
}

func TestNewHomeLendsNothingUntilAllPoolsReport(t *testing.T) {
	l := limit.New(limit.Activation{Team: "a", Epoch: 2, Limit: 10, Pools: []string{"p", "q"}})
	a, _ := l.HandleReport(start, limit.Report{HomeEpoch: 2, Pool: "p", PoolEpoch: 1, Seq: 1, Held: 4, Want: 4})
	require.Equal(t, 4, a.Granted, "q may hold the whole rest")
	a, _ = l.HandleReport(start, limit.Report{HomeEpoch: 2, Pool: "q", PoolEpoch: 1, Seq: 1, Held: -1})
	require.True(t, a.Unknown)
	l.HandleReport(start, limit.Report{HomeEpoch: 2, Pool: "q", PoolEpoch: 1, Seq: 2, Held: 1})
	a, _ = l.HandleReport(start, limit.Report{HomeEpoch: 2, Pool: "p", PoolEpoch: 1, Seq: 2, Held: 4, Want: 4})
	require.Equal(t, 8, a.Granted)
}

// TestLoansNeverExceedLimit runs a ledger with random reports while answers to
// pools get lost and homes fail without handing over their state.
func TestLoansNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const teamLimit = 10
		pools := []string{"p", "q", "r"}
		l := limit.New(limit.Activation{Team: "a", Epoch: 1, Limit: teamLimit, Pools: pools, First: true})
		held := map[string]int{}
		seq := map[string]uint64{}
		now := start
		epoch := uint64(1)
		for range rapid.IntRange(10, 200).Draw(t, "length") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 19).Draw(t, "home fails") == 0 {
				epoch++
				l = limit.New(limit.Activation{Team: "a", Epoch: epoch, Limit: teamLimit, Pools: pools})
			}
			p := rapid.SampledFrom(pools).Draw(t, "pool")
			held[p] = rapid.IntRange(0, held[p]).Draw(t, "held")
			seq[p]++
			a, ok := l.HandleReport(now, limit.Report{
				HomeEpoch: epoch, Pool: p, PoolEpoch: 1, Seq: seq[p], Held: held[p], Want: rapid.IntRange(0, 8).Draw(t, "want"),
			})
			require.True(t, ok)
			if !rapid.Bool().Draw(t, "answer lost") {
				held[p] = a.Granted
			}
			require.LessOrEqual(t, held["p"]+held["q"]+held["r"], teamLimit)
			for _, n := range l.TakeNotes() {
				require.False(t, n.Number.IsViolation(), n.String())
			}
		}
	})
}
