package config

import (
	"bytes"
	_ "embed" // for documentSchema
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var documentSchema []byte

var compileDocumentSchema = sync.OnceValue(func() *jsonschema.Schema {
	return mustCompileSchema("document.json", documentSchema)
})

func mustCompileSchema(name string, schema []byte) *jsonschema.Schema {
	tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, tree); err != nil {
		panic(err)
	}
	return c.MustCompile(name)
}

// Decode decodes a document and returns all faults of its syntax and schema as
// findings in file. CheckReferences reports faults in references between entries.
func Decode(file string, data []byte) (Document, Findings) {
	var doc Document
	fs := decode(file, data, compileDocumentSchema(), &doc)
	return doc, fs
}

// DecodeWithSchema validates JSON data against a schema, decodes it into a value,
// and returns all faults as findings in file.
func DecodeWithSchema(file string, data, schema []byte, into any) Findings {
	return decode(file, data, mustCompileSchema("schema.json", schema), into)
}

func decode(file string, data []byte, schema *jsonschema.Schema, into any) Findings {
	tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Findings{newSyntaxFinding(file, data, err)}
	}
	if err := schema.Validate(tree); err != nil {
		return newSchemaFindings(file, err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return Findings{newSyntaxFinding(file, data, err)}
	}
	return nil
}

// newSyntaxFinding returns a finding for data that is not JSON, or for a value that
// the schema accepts and the Go type does not, such as 1.0 for an integer.
func newSyntaxFinding(file string, data []byte, err error) Finding {
	place := "$"
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		place = formatLine(data, int(syntax.Offset))
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		place = formatLine(data, len(data))
	}
	return Finding{File: file, Path: place, Reason: "not valid JSON: " + err.Error()}
}

func formatLine(data []byte, offset int) string {
	return fmt.Sprintf("line %d", 1+bytes.Count(data[:min(offset, len(data))], []byte("\n")))
}

func newSchemaFindings(file string, err error) Findings {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Findings{{File: file, Path: "$", Reason: err.Error()}}
	}
	var fs Findings
	printer := message.NewPrinter(language.English)
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			fs = append(fs, Finding{
				File:   file,
				Path:   formatPath(e.InstanceLocation),
				Reason: e.ErrorKind.LocalizedString(printer),
			})
		}
		for _, cause := range e.Causes {
			walk(cause)
		}
	}
	walk(invalid)
	return fs
}

func formatPath(location []string) string {
	if len(location) == 0 {
		return "$"
	}
	var b strings.Builder
	for i, step := range location {
		if _, err := strconv.Atoi(step); err == nil {
			b.WriteString("[" + step + "]")
			continue
		}
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(step)
	}
	return b.String()
}
