package eventlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Line is one event of a timeline.
type Line struct {
	// TimeMs is the Unix time of the writing VM in milliseconds.
	TimeMs float64 `json:"time_ms"`
	// Source is what stands before the event in its line, or the file's name.
	Source string         `json:"source"`
	Event  int            `json:"event"`
	Text   string         `json:"text"`
	Fields map[string]any `json:"fields"`
}

// String returns the fields in a fixed order.
func (l Line) String() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, "%s=%v ", name, l.Fields[name])
	}
	return strings.TrimSpace(b.String())
}

// Timeline returns the events that concern a job in the order of their times;
// lines of other programs are passed over.
func Timeline(id string, logs map[string]io.Reader) ([]Line, error) {
	var lines []Line
	for _, name := range slices.Sorted(maps.Keys(logs)) {
		scanner := bufio.NewScanner(logs[name])
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if l, ok := parseLine(id, name, scanner.Text()); ok {
				lines = append(lines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.TimeMs, b.TimeMs) })
	return lines, nil
}

// parseLine reads an event that concerns a job.
func parseLine(id, name, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, id) {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false
	}
	job, _ := fields["job"].(string)
	task, _ := fields["task"].(string)
	if job != id && !strings.HasPrefix(task, id+".") {
		return Line{}, false
	}
	l := Line{Source: name, Fields: fields}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		l.Source = before[len(before)-1]
	}
	l.TimeMs, _ = fields["ts"].(float64)
	l.Text, _ = fields["msg"].(string)
	if n, ok := fields["event"].(float64); ok {
		l.Event = int(n)
	}
	for _, known := range []string{"ts", "msg", "event", "level", "job"} {
		delete(fields, known)
	}
	return l, true
}
