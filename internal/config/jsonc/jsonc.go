// Package jsonc decodes JSON with comments and trailing commas, the format of the
// settings and the configuration. It rejects unknown and duplicate fields and
// reports all errors at once, each with its position.
package jsonc

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"github.com/tailscale/hujson"
)

const (
	maxBytes = 32 << 20
	// maxDepth is the maximum nesting depth of objects and arrays.
	maxDepth = 32
)

// Document is a decoded text with the issues found in it.
type Document struct {
	name   string
	source []byte
	root   hujson.Value
	issues []Issue
}

// Decode decodes a text into the struct that into points to. Field names must match
// its json tags exactly. The issues in [Document.Err] cover the syntax, unknown and
// duplicate fields, and values of a wrong type. The caller adds those of its own
// checks.
//
//	document := jsonc.Decode("settings", source, &settings)
//	if settings.Name == "" {
//		document.Add("name", "is missing", "give this node a name")
//	}
//	return document.Err()
func Decode(name string, source []byte, into any) *Document {
	d := &Document{name: name, source: source}
	if issue, ok := checkSize(source); !ok {
		d.issues = append(d.issues, issue)
		return d
	}
	root, err := hujson.Parse(source)
	if err != nil {
		d.issues = append(d.issues, syntaxIssue(err))
		return d
	}
	d.root = root
	d.decodeValue("", root, reflect.ValueOf(into).Elem())
	return d
}

// Parse parses a text without decoding it, to find positions in it with
// [Document.Position]. Without valid syntax, all positions are that of the beginning.
func Parse(source []byte) *Document {
	d := &Document{source: source}
	if _, ok := checkSize(source); !ok {
		return d
	}
	if root, err := hujson.Parse(source); err == nil {
		d.root = root
	}
	return d
}

// Position returns the line and the column of the value at path, such as
// "engines[3].address". For a missing field it returns those of the object that should
// contain it.
func (d *Document) Position(path string) (line, column int) {
	return Position(d.source, d.offset(path))
}

// Parsed reports whether the syntax of the text is valid. Only then are checks of
// the decoded values useful.
func (d *Document) Parsed() bool { return d.root.Value != nil }

// Add adds an issue with the value at path, such as "engines[3].address", and a hint
// how to fix it.
func (d *Document) Add(path, message, hint string) {
	d.add(d.offset(path), path, message, hint)
}

// Err returns a [*Error] with all issues in the order of the text, or nil if there
// are none.
func (d *Document) Err() error {
	if len(d.issues) == 0 {
		return nil
	}
	issues := slices.Clone(d.issues)
	slices.SortStableFunc(issues, func(a, b Issue) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &Error{Name: d.name, Issues: issues}
}

func (d *Document) add(offset int, path, message, hint string) {
	line, column := Position(d.source, offset)
	d.issues = append(d.issues, Issue{Line: line, Column: column, Path: path, Message: message, Hint: hint})
}

// syntaxIssue extracts the position from the message of the parser.
func syntaxIssue(err error) Issue {
	issue := Issue{Line: 1, Column: 1, Message: err.Error(), Hint: "mend the syntax there first; the rest is checked afterwards"}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		prefix := fmt.Sprintf("hujson: line %d, column %d: ", line, column)
		issue.Line, issue.Column, issue.Message = line, column, err.Error()[len(prefix):]
	}
	return issue
}
