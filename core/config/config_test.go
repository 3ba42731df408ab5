package config_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/config"
)

const validDocument = `{
  "register": {
    "data_centres": [{"name": "dc1"}, {"name": "dc2"}],
    "pools": [{"name": "proofs"}, {"name": "spare", "spare": true}],
    "queues": [{"name": "proofs", "pool": "proofs"}],
    "vms": [
      {"name": "a", "pool": "proofs", "data_centre": "dc1", "rack": "r1", "executor": {"address": "10.0.0.1:80", "slots": 8, "connections": 64}},
      {"name": "b", "pool": "spare", "data_centre": "dc2", "rack": "r2", "executor": {"address": "10.0.0.2:80", "slots": 8, "connections": 64}}
    ],
    "teams": [{"name": "guild", "share": 2, "limit": 10}, {"name": "notary", "share": 1, "limit": 5}],
    "keys": [{"name": "k1", "team": "guild", "sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}]
  },
  "rules": {"data_centres_out": ["dc2"]}
}`

func TestValidDocumentHasNoFindings(t *testing.T) {
	doc, findings := config.Decode("f.json", []byte(validDocument))
	require.Empty(t, findings)
	require.Empty(t, config.CheckReferences(&doc))
}

// TestEachFaultGivesOneFinding introduces one fault into the valid document and
// expects exactly one finding, with its path and reason.
func TestEachFaultGivesOneFinding(t *testing.T) {
	tests := []struct {
		name, from, to string
		path, reason   string
	}{
		{"unknown field", `"share": 2`, `"share": 2, "colour": 1`, "register.teams[0]", "additional properties 'colour' not allowed"},
		{"duplicate name", `{"name": "notary"`, `{"name": "guild"`, "register.teams[1].name", `name "guild" is already used by register.teams[0].name`},
		{"VM in two pools", `{"name": "b"`, `{"name": "a"`, "register.vms[1].pool", `VM "a" is in pool "spare" and, at register.vms[0], in pool "proofs"`},
		{"team without share", `"share": 2, `, ``, "register.teams[0]", "missing property 'share'"},
		{"share out of range", `"share": 2`, `"share": 0`, "register.teams[0].share", "minimum: got 0, want 1"},
		{"limit out of range", `"limit": 10`, `"limit": 2000000`, "register.teams[0].limit", "maximum: got 2×10⁰⁶, want 1×10⁰⁶"},
		{
			"key used by two teams", `"keys": [`,
			`"keys": [{"name": "k0", "team": "notary", "sha256": "` + strings.Repeat("a", 64) + `"},`,
			"register.keys[1].sha256", `the key is used by teams "notary" and "guild"`,
		},
		{"data centre without VMs", `{"name": "dc2"}`, `{"name": "dc2"}, {"name": "dc3"}`, "register.data_centres[2].name", `no VM is in data centre "dc3"`},
		{"executor address without IP", `10.0.0.1:80`, `executor-1`, "register.vms[0].executor.address", `"executor-1" is not an IP address with a port`},
		{"address used twice", `10.0.0.2:80`, `10.0.0.1:80`, "register.vms[1].executor.address", "address 10.0.0.1:80 is already used by register.vms[0].executor.address"},
		{"unknown pool", `"pool": "spare"`, `"pool": "lost"`, "register.vms[1].pool", `no pool is named "lost"`},
		{"unknown data centre out", `["dc2"]`, `["dc9"]`, "rules.data_centres_out[0]", `no data centre is named "dc9"`},
		{"unknown team", `"team": "guild"`, `"team": "lost"`, "register.keys[0].team", `no team is named "lost"`},
		{"unknown queue pool", `"pool": "proofs"}]`, `"pool": "lost"}]`, "register.queues[0].pool", `no pool is named "lost"`},
		{"truncated document", `"rules": {"data_centres_out": ["dc2"]}` + "\n}", `"rules": {"da`, "line 13", "not valid JSON: unexpected EOF"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validDocument, tt.from, tt.to, 1)
			require.NotEqual(t, validDocument, text)
			doc, findings := config.Decode("f.json", []byte(text))
			if len(findings) == 0 {
				findings = config.CheckReferences(&doc)
			}
			require.Len(t, findings, 1, findings.Error())
			require.Equal(t, tt.path, findings[0].Path)
			require.Equal(t, tt.reason, findings[0].Reason)
		})
	}
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	text := strings.NewReplacer(`"share": 2`, `"share": 0`, `"limit": 5`, `"limit": 0`, `"slots": 8`, `"slots": "8"`).Replace(validDocument)
	_, findings := config.Decode("f.json", []byte(text))
	require.Len(t, findings, 4)
	for _, f := range findings {
		require.Equal(t, "f.json", f.File)
	}
}

func TestFindingInJoinedFilesNamesItsFile(t *testing.T) {
	first, _ := config.Decode("a.json", []byte(validDocument))
	second, _ := config.Decode("b.json", []byte(`{"register": {"teams": [{"name": "new", "share": 1, "limit": 1}, {"name": "guild", "share": 1, "limit": 1}]}}`))
	var joined config.Document
	joined.Merge(&first)
	joined.Merge(&second)
	findings := config.CheckReferences(&joined)
	config.LocateFindings(findings, []config.SourceFile{{File: "a.json", Document: first}, {File: "b.json", Document: second}})
	require.Equal(t, `b.json: register.teams[1].name: name "guild" is already used by register.teams[0].name`, findings.Error())
}

func TestDiffAppliedGivesTheDocument(t *testing.T) {
	doc, _ := config.Decode("f.json", []byte(validDocument))
	ops, err := config.State{}.Diff(&doc)
	require.NoError(t, err)
	state, err := config.State{}.Apply(&config.Change{Revision: 1, Operations: ops})
	require.NoError(t, err)
	require.Equal(t, doc, state.Document)
	ops, err = state.Diff(&doc)
	require.NoError(t, err)
	require.Empty(t, ops)
	doc.Rules.DataCentresOut = nil
	doc.Register.Teams = []config.Team{{Name: "guild", Share: 2, Limit: 11}, doc.Register.Teams[1]}
	ops, err = state.Diff(&doc)
	require.NoError(t, err)
	require.Len(t, state.Document.Rules.DataCentresOut, 1)
	require.Equal(t, "[delete data_centre_out dc2 put team guild]", strings.ReplaceAll(string(formatOperations(ops)), "\n", ""))
	_, err = state.Apply(&config.Change{Revision: 3})
	require.ErrorContains(t, err, "apply change 3: does not follow revision 1")
}

func formatOperations(ops []config.Operation) []byte {
	var b strings.Builder
	b.WriteByte('[')
	for i, op := range ops {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(op.String())
	}
	b.WriteByte(']')
	return []byte(b.String())
}

func TestFollowerIgnoresOlderRevisions(t *testing.T) {
	put := func(revision int64, limit string) *config.Change {
		return &config.Change{Revision: revision, Operations: []config.Operation{
			{Kind: config.KindTeam, Name: "a", Value: json.RawMessage(`{"name":"a","share":1,"limit":` + limit + `}`)},
		}}
	}
	var f config.Follower
	for _, step := range []struct {
		change   *config.Change
		revision int64
		gap      bool
	}{
		{put(2, "2"), 0, true},
		{put(1, "1"), 2, false},
		{put(1, "9"), 2, false},
		{put(4, "4"), 2, true},
		{put(3, "3"), 4, false},
		{put(2, "9"), 4, false},
	} {
		_, err := f.ApplyInOrder(step.change)
		require.NoError(t, err)
		require.Equal(t, step.revision, f.State().Revision)
		require.Equal(t, step.gap, f.HasGap())
	}
	team, _ := f.View().Team("a")
	require.Equal(t, 4, team.Limit)
	require.False(t, f.ReplaceState(config.State{Revision: 4}))
	require.True(t, f.ReplaceState(config.State{Revision: 9}))
	require.Equal(t, int64(9), f.View().Revision)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"register": {"vms": [{}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, findings := config.Decode("f.json", data)
		if len(findings) > 0 || len(config.CheckReferences(&doc)) > 0 {
			return
		}
		ops, err := config.State{}.Diff(&doc)
		require.NoError(t, err)
		state, err := config.State{}.Apply(&config.Change{Revision: 1, Operations: ops})
		require.NoError(t, err)
		require.Equal(t, int64(1), config.NewView(state, nil).Revision)
	})
}

// TestDeepOrHugeValueGivesFindings puts values of many levels, numbers that are too large
// and ports out of range into a document: each gives findings, at once.
func TestDeepOrHugeValueGivesFindings(t *testing.T) {
	nest := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	for _, levels := range []int{100, 9_000, 11_000, 1_000_000} {
		for _, document := range []string{
			nest(levels),
			strings.Replace(validDocument, `"name": "dc1"`, `"name": `+nest(levels), 1),
			strings.Replace(validDocument, `"rules":`, `"more": `+nest(levels)+`, "rules":`, 1),
		} {
			began := time.Now()
			_, findings := config.Decode("f.json", []byte(document))
			require.NotEmpty(t, findings)
			// Quadratic time would be minutes.
			require.Less(t, time.Since(began), 5*time.Second)
		}
	}
	for _, change := range [][2]string{
		{`"slots": 8`, `"slots": 1e400`},
		{`"slots": 8`, `"slots": 9223372036854775808`},
		{`"slots": 8`, `"slots": -9223372036854775808`},
		{`"slots": 8`, `"slots": 1.5`},
		{`"limit": 10`, `"limit": 1e400`},
		{`"share": 2`, `"share": 1e400`},
		{`10.0.0.1:80`, `10.0.0.1:0`},
		{`10.0.0.1:80`, `10.0.0.1:65536`},
		{`10.0.0.1:80`, `10.0.0.1:-1`},
		{`10.0.0.1:80`, `10.0.0.1`},
		{`10.0.0.1:80`, `:80`},
	} {
		doc, findings := config.Decode("f.json", []byte(strings.Replace(validDocument, change[0], change[1], 1)))
		if len(findings) == 0 {
			findings = config.CheckReferences(&doc)
		}
		require.NotEmpty(t, findings, "%s", change[1])
	}
}
