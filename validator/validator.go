package validator

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Kind is the kind of a document. It is also the name of its schema file without the extension.
type Kind string

// The kinds of documents.
const (
	KindRouter   Kind = "router"
	KindSidecar  Kind = "sidecar"
	KindEmulator Kind = "emulator"
	KindContract Kind = "contract"
	KindCatalog  Kind = "catalog"
	KindScenario Kind = "scenario"
	KindGateway  Kind = "gateway"
)

// Kinds lists all kinds in the order in which the settings page describes them.
var Kinds = []Kind{KindRouter, KindSidecar, KindEmulator, KindContract, KindCatalog, KindScenario, KindGateway}

//go:embed schemas/*.json
var schemaFiles embed.FS

// Fault is one error in a document.
type Fault struct {
	// Path is the JSON pointer to the invalid value, such as "/money/policy".
	Path    string
	Message string
}

// FaultsError reports all errors in a document that does not match its schema.
type FaultsError struct {
	Kind   Kind
	Faults []Fault
}

// Error returns a text with one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s: %d fault(s)", e.Kind, len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("  %s: %s", f.Path, f.Message))
	}
	return strings.Join(lines, "\n")
}

var compileSchemas = sync.OnceValues(func() (map[Kind]*jsonschema.Schema, error) {
	compiler := jsonschema.NewCompiler()
	schemas := map[Kind]*jsonschema.Schema{}
	for _, k := range Kinds {
		data, err := schemaFiles.ReadFile("schemas/" + string(k) + ".json")
		if err != nil {
			return nil, fmt.Errorf("reading schema %s: %w", k, err)
		}
		document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
		if err != nil {
			return nil, fmt.Errorf("parsing schema %s: %w", k, err)
		}
		if err := compiler.AddResource(string(k), document); err != nil {
			return nil, fmt.Errorf("adding schema %s: %w", k, err)
		}
		schema, err := compiler.Compile(string(k))
		if err != nil {
			return nil, fmt.Errorf("compiling schema %s: %w", k, err)
		}
		schemas[k] = schema
	}
	return schemas, nil
})

// Check validates a document against the schema of its kind. If the document is invalid, it returns all faults as one
// FaultsError.
func Check(k Kind, data []byte) error {
	schemas, err := compileSchemas()
	if err != nil {
		return err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return &FaultsError{Kind: k, Faults: []Fault{{Path: "/", Message: "not JSON: " + err.Error()}}}
	}
	err = schemas[k].Validate(document)
	if err == nil {
		return nil
	}
	invalid, ok := errors.AsType[*jsonschema.ValidationError](err)
	if !ok {
		return fmt.Errorf("checking %s: %w", k, err)
	}
	faults := flatten(invalid, nil)
	slices.SortFunc(faults, func(a, b Fault) int { return strings.Compare(a.Path+a.Message, b.Path+b.Message) })
	return &FaultsError{Kind: k, Faults: faults}
}

var printer = message.NewPrinter(language.English)

func flatten(e *jsonschema.ValidationError, faults []Fault) []Fault {
	if len(e.Causes) == 0 {
		return append(faults, Fault{
			Path:    "/" + strings.Join(e.InstanceLocation, "/"),
			Message: e.ErrorKind.LocalizedString(printer),
		})
	}
	for _, c := range e.Causes {
		faults = flatten(c, faults)
	}
	return faults
}

// Decode validates a document, adds the schema's defaults for absent fields, and decodes the result. It fails with a FaultsError
// if the document is invalid.
func Decode[T any](k Kind, data []byte) (T, error) {
	var v T
	if err := Check(k, data); err != nil {
		return v, err
	}
	schema, err := Schema(k)
	if err != nil {
		return v, err
	}
	filled, err := applyDefaults(schema, data)
	if err != nil {
		return v, err
	}
	decoder := json.NewDecoder(bytes.NewReader(filled))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return v, fmt.Errorf("decoding %s: %w", k, err)
	}
	return v, nil
}

// Property is the part of a JSON schema that describes a document or one of its fields.
type Property struct {
	Type        string              `json:"type"`
	Title       string              `json:"title"`
	Description string              `json:"description"`
	Default     json.RawMessage     `json:"default"`
	Enum        []string            `json:"enum"`
	Properties  map[string]Property `json:"properties"`
	Items       *Property           `json:"items"`
	Required    []string            `json:"required"`
	Minimum     *float64            `json:"minimum"`
	Maximum     *float64            `json:"maximum"`
	Pattern     string              `json:"pattern"`
}

// Schema returns the schema of a kind, decoded as a Property.
func Schema(k Kind) (Property, error) {
	var p Property
	data, err := schemaFiles.ReadFile("schemas/" + string(k) + ".json")
	if err != nil {
		return p, fmt.Errorf("reading schema %s: %w", k, err)
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, fmt.Errorf("decoding schema %s: %w", k, err)
	}
	return p, nil
}

// applyDefaults adds the defaults of absent fields to an object, or to each object in a list. It returns other values
// unchanged.
func applyDefaults(p Property, data json.RawMessage) (json.RawMessage, error) {
	switch {
	case p.Type == "object" && p.Properties != nil:
		return applyObjectDefaults(p, data)
	case p.Type == "array" && p.Items != nil:
		var items []json.RawMessage
		if err := json.Unmarshal(data, &items); err != nil {
			return nil, fmt.Errorf("reading list: %w", err)
		}
		for i, item := range items {
			filled, err := applyDefaults(*p.Items, item)
			if err != nil {
				return nil, err
			}
			items[i] = filled
		}
		return json.Marshal(items)
	}
	return data, nil
}

func applyObjectDefaults(p Property, data json.RawMessage) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &fields); err != nil {
			return nil, fmt.Errorf("reading object: %w", err)
		}
	}
	for name, field := range p.Properties {
		value, ok := fields[name]
		if !ok && field.Default != nil {
			fields[name] = field.Default
			continue
		}
		if !ok && (field.Type != "object" || field.Properties == nil) {
			continue
		}
		filled, err := applyDefaults(field, value)
		if err != nil {
			return nil, err
		}
		fields[name] = filled
	}
	return json.Marshal(fields)
}
