package edge

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLookupWaitsForASlot checks that no more reads than the limit are in progress, and that one
// that waits ends with its request.
func TestLookupWaitsForASlot(t *testing.T) {
	l := newLookups(1)
	ctx, cancel := context.WithCancel(t.Context())
	err := l.do(ctx, func() error {
		cancel()
		require.ErrorIs(t, l.do(ctx, func() error { panic("a second read") }), context.Canceled)
		return nil
	})
	require.NoError(t, err)
	require.NoError(t, l.do(t.Context(), func() error { return nil }))
}
