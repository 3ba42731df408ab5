package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/fleet"
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

// stalledStore grants every claim, but its records never arrive.
type stalledStore struct {
	core.MetadataStore
	revoked chan struct{}
}

func (*stalledStore) GrantLease(context.Context, time.Duration) (int64, error) { return 1, nil }
func (*stalledStore) RenewLease(context.Context, int64) error                  { return nil }
func (*stalledStore) Get(context.Context, string) (core.Item, error) {
	return core.Item{}, core.ErrNotFound
}

func (*stalledStore) Commit(context.Context, core.Transaction) (int64, []core.Item, error) {
	return 7, nil, nil
}

func (*stalledStore) Range(ctx context.Context, _, _ string) (core.Page, error) {
	<-ctx.Done()
	return core.Page{}, ctx.Err()
}

func (s *stalledStore) RevokeLease(context.Context, int64) error {
	close(s.revoked)
	return nil
}

// TestClaimerThatReadsTooSlowlyKeepsOthersFromClaiming guards against a node that renews its
// lease for as long as it reads the records, however slowly, while other nodes could read
// them at once.
func TestClaimerThatReadsTooSlowlyKeepsOthersFromClaiming(t *testing.T) {
	for name, c := range map[string]struct {
		// bytesPerS is the rate at which the node reads.
		bytesPerS int64
		slowReads int
		gaveUp    bool
	}{
		"it reads nothing":               {0, 0, true},
		"it reads fast enough":           {2 * minTransferRate, 0, false},
		"it has given up a claim before": {0, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &stalledStore{revoked: make(chan struct{})}
			began := monotonicNow()
			o := &ownership{
				store: store, log: eventlog.Nop(), slowReads: c.slowReads,
				reportValidUntil: func() time.Duration { return 0 },
				cutOff:           func() bool { return false },
				operator:         &core.OperatorState{Configuration: &fleet.Configuration{}},
				received:         func() int64 { return c.bytesPerS * (monotonicNow() - began).Milliseconds() / 1000 },
			}
			ctx, cancel := context.WithTimeout(t.Context(), claimTimeout+2*ownerRenewInterval)
			defer cancel()
			err := o.claimAndServe(ctx, 0)
			require.Equal(t, c.gaveUp, errors.Is(err, errReadsTooSlow))
			require.Equal(t, c.gaveUp, ctx.Err() == nil)
			require.Equal(t, c.gaveUp, o.claimDelay() >= yieldClaimDelay)
			<-store.revoked
		})
	}
}
