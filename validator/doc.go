// Package validator validates and decodes JSON documents such as settings files,
// contracts and scenarios.
//
// Each kind of document has one JSON schema, which is the only description of its
// fields: the validation, the defaults and the tables in docs/SETTINGS.md come
// from it. All errors in a document are reported together, each with its JSON path.
package validator
