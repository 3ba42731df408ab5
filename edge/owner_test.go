package edge

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthwind/core"
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
