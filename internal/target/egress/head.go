package egress

import (
	"bytes"

	"github.com/cicadamill/cicadamill/internal/target/answer"
)

const (
	// maxLineStart bounds the beginning of a line that a [head] keeps.
	maxLineStart = 32
	// maxLines limits the lines of a head, interim ones before it included. In memory a
	// short field takes twenty times its length.
	maxLines = 256
)

// head finds folded lines in the head of an answer, and heads of too many lines. net/http
// joins folded lines to the line before, so that a field whose name begins with a blank
// ends up in another one's value. A gateway may reject them (RFC 9112, section 5.2).
type head struct {
	// lines is the number of lines that have ended.
	lines int
	// reading is true from the beginning of a head to its end.
	reading bool
	// fields is true after the status line.
	fields bool
	// interim is true in the head of an interim answer, which another head follows.
	interim bool
	// line is the beginning of the current line.
	line []byte
}

// scan looks at the bytes that follow.
func (h *head) scan(data []byte) error {
	for h.reading && len(data) > 0 {
		line, rest, whole := bytes.Cut(data, []byte("\n"))
		h.line = append(h.line, line[:min(len(line), maxLineStart-len(h.line))]...)
		if h.fields && len(h.line) > 0 && (h.line[0] == ' ' || h.line[0] == '\t') {
			return &answer.InvalidError{Reason: "folded line"}
		}
		if h.lines == maxLines {
			return &answer.InvalidError{Reason: "too many lines"}
		}
		if whole {
			h.endLine()
		}
		data = rest
	}
	return nil
}

func (h *head) endLine() {
	switch text := bytes.TrimSuffix(h.line, []byte("\r")); {
	case !h.fields:
		_, status, _ := bytes.Cut(text, []byte(" "))
		h.fields, h.interim = true, bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
	case len(text) == 0:
		h.reading, h.fields = h.interim, false
	}
	h.lines++
	h.line = h.line[:0]
}
