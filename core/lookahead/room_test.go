package lookahead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
	"jacinthwind/core/lookahead"
)

func cpu(n int64) fleet.Vector { return fleet.Vector{CPU: n, Mem: n} }

func run(size, endMs int64) lookahead.Run {
	return lookahead.Run{Size: cpu(size), End: time.Duration(endMs) * time.Millisecond}
}

func room(capacity int64, runs ...lookahead.Run) lookahead.Room {
	r := lookahead.Room{Capacity: cpu(capacity), Runs: runs}
	for _, run := range runs {
		r.Used = r.Used.Add(run.Size)
	}
	return r
}

// Load: a large task beside runs of unlike lengths, one of which lasts.
func TestRoomIsFreeOnceEnoughHasEnded(t *testing.T) {
	r := room(8, run(2, 300), run(3, 100), lookahead.Run{Size: cpu(2), Lasts: true})
	for need, wantMs := range map[int64]int64{1: 50, 4: 100, 6: 300, 7: -1} {
		at, spare, ok := r.FreeAt(50*time.Millisecond, time.Minute, cpu(need))
		require.Equal(t, wantMs >= 0, ok)
		if ok {
			require.Equal(t, time.Duration(wantMs)*time.Millisecond, at)
			require.True(t, spare.FitsIn(cpu(8)))
		}
	}
	_, _, ok := r.FreeAt(0, 200*time.Millisecond, cpu(6))
	require.False(t, ok, "after the limit")
	at, _, ok := r.FreeAt(time.Second, time.Minute, cpu(6))
	require.True(t, ok)
	require.Equal(t, time.Second, at, "a run that should have ended ends now at the earliest")
}

// Load: small tasks that would run at a place until a large one comes.
func TestPlaceAdmitsWhatIsGoneOrFitsBeside(t *testing.T) {
	p := lookahead.Place{Need: cpu(6), At: time.Second, Spare: cpu(2)}
	require.True(t, p.Admits(cpu(5), time.Second))
	require.False(t, p.Admits(cpu(5), 1100*time.Millisecond))
	require.True(t, p.Admits(cpu(2), time.Hour))
	p.Fill(cpu(5), time.Second)
	p.Fill(cpu(2), time.Hour)
	require.False(t, p.Admits(cpu(1), time.Hour))
}

// Load: a gang of five that needs several executors, and one that never fits.
func TestGangGetsTheEarliestRooms(t *testing.T) {
	rooms := []lookahead.Room{room(8, run(8, 500)), room(8, run(5, 200)), room(8, run(8, 300)), room(8, run(8, 100))}
	all := func(int) bool { return true }
	places := lookahead.Earliest(0, time.Minute, rooms, all, cpu(4), 5, 0)
	require.Len(t, places, 3)
	require.NotContains(t, places, 0)
	require.Equal(t, cpu(8), places[3].Need)
	require.Len(t, lookahead.Earliest(0, time.Minute, rooms, all, cpu(4), 4, 1), 4)
	require.Empty(t, lookahead.Earliest(0, time.Minute, rooms, all, cpu(4), 5, 1))
	require.Empty(t, lookahead.Earliest(0, time.Minute, rooms, func(i int) bool { return i == 0 }, cpu(4), 5, 0))
	require.Empty(t, lookahead.Earliest(0, time.Minute, rooms, all, cpu(9), 1, 0))
}
