package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// playHotTeam lets one team send twenty times what another one sends, far more than the pool can
// do, and returns how many jobs of each were taken, and how many of the calm team's jobs were done
// within their objective of 3 s.
func playHotTeam(t *testing.T, shares ...float64) (hot, calm, inTime int) {
	w := newWorld(t, 3)
	w.config.Teams = nil
	for i, s := range shares {
		w.config.Teams = append(w.config.Teams, fleet.Team{Name: []string{"hot", "calm"}[i], Share: s})
	}
	w.config.Version++
	w.config.Index()
	w.step(cell.Configured{Configuration: w.config})
	w.advance(time.Second)
	sent := map[cell.CallID]*job.Job{}
	send := func(n int, team string) {
		j := simpleJob(n, 2, 2000)
		j.Team = team
		sent[w.submitJob(j)] = j
		w.advance(10 * time.Millisecond)
	}
	for i := range 15 {
		for n := range 20 {
			send(100*i+n+1, "hot")
		}
		send(100*i+50, "calm")
	}
	w.advance(3 * time.Second)
	taken := map[string][]*job.Job{}
	for call, j := range sent {
		if w.verdicts[call].Verdict == cell.Accepted {
			taken[j.Team] = append(taken[j.Team], j)
		}
	}
	for _, j := range taken["calm"] {
		if w.jobState(j.ID) == job.Succeeded {
			inTime++
		}
	}
	w.advance(20 * time.Second)
	for _, jobs := range taken {
		for _, j := range jobs {
			require.Equal(t, job.Succeeded, w.jobState(j.ID), "each accepted job ends")
		}
	}
	return len(taken["hot"]), len(taken["calm"]), inTime
}

// TestHotTeamIsRefusedByItself: one team sends many times its usual while another goes on as always.
func TestHotTeamIsRefusedByItself(t *testing.T) {
	hot, calm, inTime := playHotTeam(t, 1, 1)
	require.Equal(t, 15, calm, "the calm team is taken as always")
	require.Equal(t, 15, inTime)
	require.Greater(t, hot, 50, "what the calm team does not use is the hot team's")
	_, without, _ := playHotTeam(t, 0, 0)
	require.Less(t, without, 15, "without weights nobody is preferred")
}

// TestOddWeightsAreReplaced: a configuration with weights that cannot be meant.
func TestOddWeightsAreReplaced(t *testing.T) {
	_, calm, _ := playHotTeam(t, -4, 1e300)
	require.Equal(t, 15, calm)
}
