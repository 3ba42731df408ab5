package config

import (
	"encoding/json"
	"fmt"
)

// Validate returns every fault of a document, those of its form and those of
// its references.
func Validate(doc *Document) (Findings, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if _, fs := Decode("", raw); len(fs) > 0 {
		return fs, nil
	}
	return Check(doc), nil
}
