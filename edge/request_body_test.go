package edge

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestBodyIsReadWithinBudget checks what is read of bodies of known and unknown length around
// the limits, and what it takes from the budget.
func TestBodyIsReadWithinBudget(t *testing.T) {
	const limit = 64 << 10
	for _, test := range []struct {
		name             string
		length, declared int64
		budget, reserved int64
		err              error
	}{
		{"empty", 0, 0, 0, 0, nil},
		{"small", freeBodyBytes, freeBodyBytes, 0, 0, nil},
		{"large", limit, limit, limit, limit, nil},
		{"too large", limit + 1, limit + 1, 10 * limit, 0, errBodyTooLarge},
		{"without memory", limit, limit, limit - 1, 0, errNoBodyMemory},
		{"cut off", limit - 1, limit, limit, limit, io.ErrUnexpectedEOF},
		{"small, unknown length", freeBodyBytes, -1, 0, 0, nil},
		{"large, unknown length", limit, -1, limit, limit, nil},
		{"too large, unknown length", limit + 1, -1, 10 * limit, limit, errBodyTooLarge},
		{"without memory, unknown length", freeBodyBytes + 1, -1, limit - 1, 0, errNoBodyMemory},
	} {
		p := &Process{}
		p.memory.limit = test.budget
		text := strings.Repeat("x", int(test.length))
		for _, body := range []io.Reader{strings.NewReader(text), iotest.DataErrReader(iotest.HalfReader(strings.NewReader(text)))} {
			read, reserved, err := p.readBody(&http.Request{Body: io.NopCloser(body), ContentLength: test.declared}, limit)
			require.ErrorIs(t, err, test.err, test.name)
			require.Equal(t, test.reserved, reserved, test.name)
			require.Equal(t, reserved, p.memory.used.Load(), test.name)
			if err == nil {
				require.Len(t, read, int(test.length), test.name)
			}
			p.memory.release(reserved)
		}
	}
}

// TestCutOffBodyOfUnknownLengthIsAnError guards against a job that is taken from a part of a
// body whose connection broke.
func TestCutOffBodyOfUnknownLengthIsAnError(t *testing.T) {
	for _, length := range []int{10, freeBodyBytes + 10} {
		p := &Process{}
		p.memory.limit = 1 << 20
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", length)), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, _, err := p.readBody(&http.Request{Body: io.NopCloser(body), ContentLength: -1}, 1<<18)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}
