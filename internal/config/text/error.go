package text

import (
	"bytes"
	"fmt"
	"strings"
)

// maxPrinted bounds the length of an error's text, not of its list.
const maxPrinted = 200

// Issue is one thing that is wrong with a text.
type Issue struct {
	// Line and Column count from one; a column is a byte.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the field, such as "engines[3].address"; empty means the whole text.
	Path string `json:"path,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Hint says what to do about it.
	Hint string `json:"hint,omitempty"`
}

// String returns one line for an operator.
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

// Error is everything that is wrong with a text. Nothing of the text applies.
//
//	var invalid *text.Error
//	if errors.As(err, &invalid) {
//		for _, issue := range invalid.Issues {
//			fmt.Println(issue)
//		}
//	}
type Error struct {
	// Name is which text it is.
	Name string
	// Issues are what is wrong, in the order of the text; never empty.
	Issues []Issue
}

// Error returns a line for each issue.
func (e *Error) Error() string {
	var b strings.Builder
	plural := "s"
	if len(e.Issues) == 1 {
		plural = ""
	}
	fmt.Fprintf(&b, "%d error%s in the %s, nothing was applied:", len(e.Issues), plural, e.Name)
	for i, issue := range e.Issues {
		if i == maxPrinted {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Issues)-i)
			break
		}
		b.WriteString("\n  " + issue.String())
	}
	return b.String()
}

// position turns an offset into a line and a column.
func position(source []byte, offset int) (line, column int) {
	before := source[:min(offset, len(source))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
