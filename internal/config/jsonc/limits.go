package jsonc

import (
	"bytes"
	"strconv"
)

// checkSize rejects texts that could exhaust the memory or the stack of the parser.
func checkSize(source []byte) (Issue, bool) {
	if len(source) > maxBytes {
		return Issue{Line: 1, Column: 1, Message: "is larger than " + strconv.Itoa(maxBytes) + " bytes", Hint: "make it smaller"}, false
	}
	offset, ok := findTooDeep(source)
	if ok {
		return Issue{}, true
	}
	line, column := Position(source, offset)
	return Issue{Line: line, Column: column, Message: "is nested deeper than " + strconv.Itoa(maxDepth) + " levels", Hint: "no field needs that"}, false
}

// findTooDeep returns the offset of the first bracket nested deeper than maxDepth;
// true means that there is none.
func findTooDeep(source []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(source); i++ {
		switch source[i] {
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i, false
			}
		case '}', ']':
			depth--
		case '"':
			i = skipString(source, i)
		case '/':
			i = skipComment(source, i)
		}
	}
	return 0, true
}

// skipString returns the index of the closing quote of the string that starts at i.
func skipString(source []byte, i int) int {
	for i++; i < len(source) && source[i] != '"'; i++ {
		if source[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment that starts at i. It
// returns i if the slash there does not start a comment.
func skipComment(source []byte, i int) int {
	rest := source[i:]
	end := -1
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		if end = bytes.Index(rest[2:], []byte("*/")); end >= 0 {
			end += len("/*") + 1
		}
	default:
		return i
	}
	if end < 0 {
		return len(source)
	}
	return i + end
}
