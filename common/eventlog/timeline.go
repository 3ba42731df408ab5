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

// maxLineBytes is the length of the longest line that ReadTimeline accepts.
const maxLineBytes = 1 << 20

// TimelineEvent holds one event of a timeline.
type TimelineEvent struct {
	// TimeMs is the time at which the event was written, in Unix milliseconds of
	// the clock of the VM that wrote it.
	TimeMs float64 `json:"time_ms"`
	// Source is the last word before the JSON object on the line, or the name of
	// the log if there is none.
	Source string         `json:"source"`
	Event  int            `json:"event"`
	Text   string         `json:"text"`
	Fields map[string]any `json:"fields"`
}

// String returns the fields as name=value pairs, sorted by name.
func (e TimelineEvent) String() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&b, "%s=%v ", name, e.Fields[name])
	}
	return strings.TrimSpace(b.String())
}

// ReadTimeline returns the events of the job with the given id from all logs,
// sorted by time. It skips lines that are not events.
func ReadTimeline(id string, logs map[string]io.Reader) ([]TimelineEvent, error) {
	var events []TimelineEvent
	for _, name := range slices.Sorted(maps.Keys(logs)) {
		scanner := bufio.NewScanner(logs[name])
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if e, ok := parseLine(id, name, scanner.Text()); ok {
				events = append(events, e)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("read log %s: %w", name, err)
		}
	}
	slices.SortStableFunc(events, func(a, b TimelineEvent) int { return cmp.Compare(a.TimeMs, b.TimeMs) })
	return events, nil
}

// parseLine parses a line of the log called name and reports whether it is an
// event of the job with the given id.
func parseLine(id, name, text string) (TimelineEvent, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, id) {
		return TimelineEvent{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return TimelineEvent{}, false
	}
	job, _ := fields["job"].(string)
	task, _ := fields["task"].(string)
	if job != id && !strings.HasPrefix(task, id+".") {
		return TimelineEvent{}, false
	}
	e := TimelineEvent{Source: name, Fields: fields}
	if linePrefix := strings.Fields(text[:start]); len(linePrefix) > 0 {
		e.Source = linePrefix[len(linePrefix)-1]
	}
	e.TimeMs, _ = fields["ts"].(float64)
	e.Text, _ = fields["msg"].(string)
	if n, ok := fields["event"].(float64); ok {
		e.Event = int(n)
	}
	for _, key := range []string{"ts", "msg", "event", "level", "job"} {
		delete(fields, key)
	}
	return e, true
}
