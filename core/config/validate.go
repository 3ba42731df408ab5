package config

import (
	"encoding/json"
	"fmt"
)

// Validate returns all faults of a document, those that Decode finds or, if there
// are none, those that CheckReferences finds.
func Validate(doc *Document) (Findings, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if _, fs := Decode("", raw); len(fs) > 0 {
		return fs, nil
	}
	return CheckReferences(doc), nil
}
