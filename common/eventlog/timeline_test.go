package eventlog_test

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthwind/common/eventlog"
)

func TestReadTimelineKeepsOnlyEventsOfTheJobInTimeOrder(t *testing.T) {
	lines, err := eventlog.ReadTimeline("00000000000000a1", map[string]io.Reader{
		"b.log": strings.NewReader(`{"level":"info","ts":30,"msg":"an executor listed the end of a run","event":605,"task":"00000000000000a1.0.0.1","how":"done"}
not a line of ours 00000000000000a1
{"level":"info","ts":31,"msg":"other","event":605,"task":"00000000000000a10.0.0.1"}
`),
		"a.log": strings.NewReader(`   4.1 edge-1 {"level":"info","ts":20,"msg":"a job is stored and accepted","event":601,"job":"00000000000000a1","queue":"q"}
   4.2 edge-1 {"broken 00000000000000a1
`),
	})
	require.NoError(t, err)
	require.Len(t, lines, 2)
	require.Equal(t, "edge-1", lines[0].Source)
	require.Equal(t, 601, lines[0].Event)
	require.Equal(t, "queue=q", lines[0].String())
	require.Equal(t, "b.log", lines[1].Source)
	require.Equal(t, "how=done task=00000000000000a1.0.0.1", lines[1].String())
}
