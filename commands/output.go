package commands

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"go.uber.org/zap"
)

// newTable returns a table with the given column headings that renders to w.
func newTable(w io.Writer, columns ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = 0
	t.AppendHeader(table.Row(columns))
	return t
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// newLogger returns a logger that writes JSON lines of at least the given level
// to standard error.
func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("parse log level %q: %w", level, err)
	}
	c := zap.NewProductionConfig()
	c.Level = parsed
	c.Sampling = nil
	c.DisableStacktrace = true
	return c.Build()
}
