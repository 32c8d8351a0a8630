package jsonc

import (
	"bytes"
	"fmt"
	"strings"
)

// maxPrintedIssues is the maximum number of issues in the text of an error. The list of
// issues is not limited.
const maxPrintedIssues = 200

// Issue is one error in a text.
type Issue struct {
	// Line and Column count from one. Columns are counted in bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the field, such as "engines[3].address"; empty means the whole text.
	Path string `json:"path,omitempty"`
	// Message describes the error.
	Message string `json:"message"`
	// Hint describes how to fix it.
	Hint string `json:"hint,omitempty"`
}

// String returns the position, path, message and hint in one line.
func (i Issue) String() string {
	line := fmt.Sprintf("%d:%d: ", i.Line, i.Column)
	if i.Path != "" {
		line += i.Path + ": "
	}
	line += i.Message
	if i.Hint != "" {
		line += "; " + i.Hint
	}
	return line
}

// Error holds all issues of a text. No part of the text is applied.
//
//	var invalid *jsonc.Error
//	if errors.As(err, &invalid) {
//		for _, issue := range invalid.Issues {
//			fmt.Println(issue)
//		}
//	}
type Error struct {
	// Name describes the text, such as "settings".
	Name string
	// Issues are in the order of the text. The list is never empty.
	Issues []Issue
}

// Error returns a line for each of the first issues.
func (e *Error) Error() string {
	var b strings.Builder
	plural := "s"
	if len(e.Issues) == 1 {
		plural = ""
	}
	fmt.Fprintf(&b, "%d error%s in the %s, nothing was applied:", len(e.Issues), plural, e.Name)
	for i, issue := range e.Issues {
		if i == maxPrintedIssues {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Issues)-i)
			break
		}
		b.WriteString("\n  " + issue.String())
	}
	return b.String()
}

// Position converts a byte offset into a line and a column, which count from one.
func Position(source []byte, offset int) (line, column int) {
	before := source[:min(offset, len(source))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
