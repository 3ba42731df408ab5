package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core"
	"jacinthwind/core/job"
)

// TestRefusedClaimReturnsTokenOfEarlierAttempt checks that a refused claim counts
// as done only if the store holds this node's own record.
func TestRefusedClaimReturnsTokenOfEarlierAttempt(t *testing.T) {
	own := ownerRecord{Node: "a", Incarnation: "i", Generation: 4}
	other := ownerRecord{Node: "b", Incarnation: "j", Generation: 4}
	for name, c := range map[string]struct {
		items []core.Item
		token int64
	}{
		"an earlier attempt was done": {[]core.Item{{Key: keySequence, Revision: 7}, {Key: keyOwner, Revision: 7, Value: mustEncode(own)}}, 7},
		"another node claimed first":  {[]core.Item{{Key: keyOwner, Revision: 7, Value: mustEncode(other)}}, 0},
		"the sequence has changed":    {[]core.Item{{Key: keySequence, Revision: 8}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			token, err := findEarlierClaim(c.items, own)
			require.Equal(t, c.token, token)
			require.Equal(t, c.token == 0, errors.Is(err, core.ErrConflict))
		})
	}
}

// TestUncheckedJobOfPeerReachesKernel guards against a job that another build of a node
// passes on and that the kernel cannot handle.
func TestUncheckedJobOfPeerReachesKernel(t *testing.T) {
	h, deposed := newTestHost(t)
	p := &Process{ownership: &ownership{host: h}}
	bad := &job.Job{ID: "0000000000000001", Steps: []job.Step{{Count: 1, After: []int{4}}}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	a, err := p.handleOwner(ctx, ownerCall{Kind: callSubmit, Job: bad})
	require.NoError(t, err)
	require.Equal(t, verdictFaulty, a.Verdict)
	require.Empty(t, deposed)
}
