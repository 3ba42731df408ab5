package event_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/event"
)

// TestCatalogueIsDocumented checks that docs/EVENTS.md lists exactly the events
// of the catalogue, with the same descriptions.
func TestCatalogueIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	var documented []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			documented = append(documented, strings.TrimSpace(line))
		}
	}
	var want []string
	for _, n := range slices.Sorted(maps.Keys(event.Catalogue)) {
		want = append(want, fmt.Sprintf("| %d | %s |", n, event.Catalogue[n]))
	}
	require.Equal(t, want, documented)
}
