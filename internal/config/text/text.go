// Package text reads operators' texts: JSON with comments and trailing commas,
// read strictly, with every error of a text reported at once and placed.
package text

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"github.com/tailscale/hujson"
)

const (
	maxBytes = 32 << 20
	maxDepth = 32
)

// Document is a text that has been read, with what is wrong with it.
type Document struct {
	name   string
	source []byte
	root   hujson.Value
	issues []Issue
}

// Read reads a text into the struct that into points to. Field names come from
// its json tags and must match exactly. The error of [Document.Err] lists
// unknown fields, fields given twice and values of a wrong type; the caller
// adds what else is wrong.
//
//	document := text.Read("settings", source, &settings)
//	if settings.Name == "" {
//		document.Add("name", "is missing", "give this node a name")
//	}
//	return document.Err()
func Read(name string, source []byte, into any) *Document {
	d := &Document{name: name, source: source}
	if issue, ok := guard(source); !ok {
		d.issues = append(d.issues, issue)
		return d
	}
	root, err := hujson.Parse(source)
	if err != nil {
		d.issues = append(d.issues, syntaxIssue(err))
		return d
	}
	d.root = root
	d.value("", root, reflect.ValueOf(into).Elem())
	return d
}

// Sound tells whether the text could be read at all, so that checks of its
// meaning make sense.
func (d *Document) Sound() bool { return d.root.Value != nil }

// Add reports what is wrong with the value at path, such as
// "engines[3].address", and what to do about it.
func (d *Document) Add(path, message, hint string) {
	d.add(d.offset(path), path, message, hint)
}

// Err returns a [*Error] with all issues in the order of the text, or nil.
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
	line, column := position(d.source, offset)
	d.issues = append(d.issues, Issue{Line: line, Column: column, Path: path, Message: message, Hint: hint})
}

// syntaxIssue takes the place out of the parser's message.
func syntaxIssue(err error) Issue {
	issue := Issue{Line: 1, Column: 1, Message: err.Error(), Hint: "mend the syntax there first; the rest is checked afterwards"}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		prefix := fmt.Sprintf("hujson: line %d, column %d: ", line, column)
		issue.Line, issue.Column, issue.Message = line, column, err.Error()[len(prefix):]
	}
	return issue
}
