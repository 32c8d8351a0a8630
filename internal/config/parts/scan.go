package parts

import "bytes"

// span is a piece of a text.
type span struct{ from, to int }

// member is one field of the top-level object.
type member struct {
	name  string
	value span
	// items are the elements, when the value is an array.
	items []span
	array bool
}

// scanner walks over JSON with comments. It checks only as much as it needs to
// find the bounds of values; a text that it can't follow makes it fail.
type scanner struct {
	text []byte
	at   int
}

// scan returns the fields of the object that a text holds.
func scan(text []byte) ([]member, bool) {
	s := &scanner{text: text}
	if !s.take('{') {
		return nil, false
	}
	var members []member
	for {
		s.space()
		if s.take('}') {
			s.space()
			return members, s.at == len(text)
		}
		m, ok := s.member()
		if !ok {
			return nil, false
		}
		members = append(members, m)
		s.space()
		if !s.take(',') && s.peek() != '}' {
			return nil, false
		}
	}
}

func (s *scanner) member() (member, bool) {
	from := s.at
	if !s.quoted() {
		return member{}, false
	}
	m := member{name: string(s.text[from+1 : s.at-1])}
	if !s.take(':') {
		return member{}, false
	}
	s.space()
	m.value.from = s.at
	m.array = s.peek() == '['
	ok := false
	if m.array {
		m.items, ok = s.array()
	} else {
		ok = s.value()
	}
	m.value.to = s.at
	return m, ok
}

// array returns the bounds of each element.
func (s *scanner) array() ([]span, bool) {
	s.at++
	var items []span
	for {
		s.space()
		if s.take(']') {
			return items, true
		}
		from := s.at
		if !s.value() {
			return nil, false
		}
		items = append(items, span{from: from, to: s.at})
		s.space()
		if !s.take(',') && s.peek() != ']' {
			return nil, false
		}
	}
}

// value moves past one value of any kind.
func (s *scanner) value() bool {
	switch s.peek() {
	case '"':
		return s.quoted()
	case '{', '[':
		return s.nested()
	default:
		return s.literal()
	}
}

// nested moves past an object or an array by counting brackets.
func (s *scanner) nested() bool {
	depth := 0
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case '"':
			if !s.quoted() {
				return false
			}
			continue
		case '/':
			if !s.comment() {
				return false
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.at++
		if depth == 0 {
			return true
		}
	}
	return false
}

func (s *scanner) literal() bool {
	from := s.at
	for s.at < len(s.text) && bytes.IndexByte([]byte(",]}/ \t\r\n"), s.text[s.at]) < 0 {
		s.at++
	}
	return s.at > from
}

// quoted moves past a string.
func (s *scanner) quoted() bool {
	if s.peek() != '"' {
		return false
	}
	s.at++
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case '\\':
			s.at += 2
		case '"':
			s.at++
			return true
		default:
			s.at++
		}
	}
	return false
}

// space moves past white space and comments.
func (s *scanner) space() {
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		case '/':
			if !s.comment() {
				return
			}
		default:
			return
		}
	}
}

func (s *scanner) comment() bool {
	rest := s.text[s.at:]
	end, length := -1, 0
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end, length = bytes.IndexByte(rest, '\n'), 1
	case bytes.HasPrefix(rest, []byte("/*")):
		end, length = bytes.Index(rest, []byte("*/")), 2
	}
	if end < 0 {
		return false
	}
	s.at += end + length
	return true
}

func (s *scanner) take(b byte) bool {
	s.space()
	if s.peek() != b {
		return false
	}
	s.at++
	return true
}

// peek returns the next byte; zero at the end.
func (s *scanner) peek() byte {
	if s.at >= len(s.text) {
		return 0
	}
	return s.text[s.at]
}
