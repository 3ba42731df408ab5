package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/jsonhttp"
	"jacinthwind/core"
	"jacinthwind/core/fleet"
)

// TestAllLost is a row for what the peers say of their store: a node that does not
// answer may have it.
func TestAllLost(t *testing.T) {
	peer := func(handler http.HandlerFunc) string {
		s := httptest.NewServer(handler)
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	says := func(lost bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, http.StatusOK, storeView{Lost: lost}) }
	}
	lost, has := peer(says(true)), peer(says(false))
	broken := peer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	gone := httptest.NewServer(says(true))
	gone.Close()
	for name, c := range map[string]struct {
		peers []string
		want  bool
	}{
		"no peers":             {nil, true},
		"all have lost it":     {[]string{lost, lost}, true},
		"one has it":           {[]string{lost, has}, false},
		"one answers an error": {[]string{lost, broken}, false},
		"one is gone":          {[]string{strings.TrimPrefix(gone.URL, "http://"), lost}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Process{peerClient: http.DefaultClient}
			require.Equal(t, c.want, p.allLost(context.Background(), c.peers))
		})
	}
}

// TestWitnesses follows the peers that are asked: one that has just lost its entry
// may have the store again, one that left long before is gone.
func TestWitnesses(t *testing.T) {
	var o outage
	require.Empty(t, o.witnesses())
	o.listed(time.Minute, []string{"a", "b", "c"})
	o.listed(time.Minute+10*time.Second, []string{"a", "b"})
	require.ElementsMatch(t, []string{"a", "b", "c"}, o.witnesses())
	o.listed(2*time.Minute, []string{"a"})
	require.ElementsMatch(t, []string{"a"}, o.witnesses())
}

// TestWordOfAnOutageKeepsFromClaiming lets a node that has just said that it has no
// store wait until nobody relies on that any more.
func TestWordOfAnOutageKeepsFromClaiming(t *testing.T) {
	var p outage
	o := &owner{trusted: p.mayBeTrusted, synced: true, operator: &core.OperatorState{Configuration: &fleet.Configuration{}}}
	_, free := o.free()
	require.True(t, free)
	p.deny(mono(), true)
	_, free = o.free()
	require.False(t, free)
	p.deny(mono()-2*outagePromise, true)
	_, free = o.free()
	require.True(t, free)
}

// TestOwnerIsNoWitness asks a node without the store that claims the pools, or owns
// them, while an earlier owner is alive.
func TestOwnerIsNoWitness(t *testing.T) {
	p := &Process{relay: &Relay{}, owner: &owner{}}
	v, err := p.handleOutage(context.Background(), struct{}{})
	require.NoError(t, err)
	require.True(t, v.Lost)
	p.owner.engaged.Store(true)
	v, err = p.handleOutage(context.Background(), struct{}{})
	require.NoError(t, err)
	require.False(t, v.Lost)
}

// TestDenial is what a node owes to an owner that relied on its word.
func TestDenial(t *testing.T) {
	var o outage
	require.Zero(t, o.mayBeTrusted())
	require.False(t, o.deny(time.Second, false).Lost)
	require.Zero(t, o.mayBeTrusted())
	require.True(t, o.deny(2*time.Second, true).Lost)
	require.False(t, o.deny(3*time.Second, false).Lost)
	require.Equal(t, 2*time.Second+outagePromise, o.mayBeTrusted())
}
