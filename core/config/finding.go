package config

import (
	"fmt"
	"strings"
)

// Finding describes a fault in a configuration.
type Finding struct {
	File string `json:"file,omitempty"`
	// Path is the JSON path of the invalid value, such as "register.vms[3].pool",
	// or the line of a syntax error.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	if f.File == "" {
		return f.Path + ": " + f.Reason
	}
	return f.File + ": " + f.Path + ": " + f.Reason
}

// Findings collects the faults of a configuration; its zero value is empty.
type Findings []Finding

// Add appends a finding at path.
func (fs *Findings) Add(path, format string, args ...any) {
	*fs = append(*fs, Finding{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Err returns the findings as an error, or nil if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Error returns all findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
