package event_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/event"
)

var errReset = errors.New("connection reset")

// TestNext guards against an event that passes for whole though the stream has ended
// or broken within it.
func TestNext(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	line4096 := "data: " + strings.Repeat("x", 4090)
	tests := map[string]struct {
		text string
		then error
		raw  []string
		ids  []string
		end  error
	}{
		"whole events":               {text: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", raw: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, ids: []string{"1", "2"}, end: io.EOF},
		"carriage returns":           {text: "id:7\r\ndata: a\r\n\r\n", raw: []string{"id:7\r\ndata: a\r\n\r\n"}, ids: []string{"7"}, end: io.EOF},
		"event without number":       {text: "data: a\n\n", raw: []string{"data: a\n\n"}, ids: []string{""}, end: io.EOF},
		"ends within a line":         {text: "id: 1\n\nid: 2\nda", raw: []string{"id: 1\n\n"}, ids: []string{"1"}, end: io.ErrUnexpectedEOF},
		"ends within an event":       {text: "id: 2\ndata: b\n", end: io.ErrUnexpectedEOF},
		"CRLF, ends within a line":   {text: "id: 1\r\n\r\nid: 2\r\nda", raw: []string{"id: 1\r\n\r\n"}, ids: []string{"1"}, end: io.ErrUnexpectedEOF},
		"CRLF, no blank line":        {text: "id: 1\r\n\r\nid: 2\r\ndata: b\r\n", raw: []string{"id: 1\r\n\r\n"}, ids: []string{"1"}, end: io.ErrUnexpectedEOF},
		"CRLF, half a line end":      {text: "id: 1\r\n\r\nid: 2\r", raw: []string{"id: 1\r\n\r\n"}, ids: []string{"1"}, end: io.ErrUnexpectedEOF},
		"CRLF, half a blank line":    {text: "id: 2\r\ndata: b\r\n\r", end: io.ErrUnexpectedEOF},
		"CRLF after LF":              {text: "id: 1\n\r\nid: 2\r\n\n", raw: []string{"id: 1\n\r\n", "id: 2\r\n\n"}, ids: []string{"1", "2"}, end: io.EOF},
		"no line end":                {text: "id: 1\n\nid: 2\ndata: b", raw: []string{"id: 1\n\n"}, ids: []string{"1"}, end: io.ErrUnexpectedEOF},
		"ends within a comment":      {text: "id: 1\n\n: al", raw: []string{"id: 1\n\n"}, ids: []string{"1"}, end: io.ErrUnexpectedEOF},
		"blank lines, half an event": {text: "id: 1\n\n\n\nid: 2\n", raw: []string{"id: 1\n\n"}, ids: []string{"1"}, end: io.ErrUnexpectedEOF},
		"reset within an event":      {text: "id: 1\n\nid: 2\nda", then: errReset, raw: []string{"id: 1\n\n"}, ids: []string{"1"}, end: errReset},
		"reset, no blank line":       {text: "id: 1\n\nid: 2\ndata: b\n", then: errReset, raw: []string{"id: 1\n\n"}, ids: []string{"1"}, end: errReset},
		"reset at once":              {then: errReset, end: errReset},
		"reset after blank lines":    {text: "id: 1\n\n\n", then: errReset, raw: []string{"id: 1\n\n"}, ids: []string{"1"}, end: errReset},
		"reset after an event":       {text: "id: 1\n\n", then: errReset, raw: []string{"id: 1\n\n"}, ids: []string{"1"}, end: errReset},
		"empty":                      {end: io.EOF},
		"blank lines between":        {text: "\n\nid: 1\n\n\nid: 2\n\n", raw: []string{"\n\nid: 1\n\n", "\nid: 2\n\n"}, ids: []string{"1", "2"}, end: io.EOF},
		"blank lines at end":         {text: "id: 1\n\n\n\r\n", raw: []string{"id: 1\n\n", "\n\r\n"}, ids: []string{"1", ""}, end: io.EOF},
		"blank lines, no end":        {text: strings.Repeat("\n", 1<<20+1), end: event.ErrTooLarge},
		"line as buffer":             {text: line4096 + "\nid: 5\n\n", raw: []string{line4096 + "\nid: 5\n\n"}, ids: []string{"5"}, end: io.EOF},
		"id in a long line":          {text: line4096 + "id: 6\nid: 5\n\n", raw: []string{line4096 + "id: 6\nid: 5\n\n"}, ids: []string{"5"}, end: io.EOF},
		"long line":                  {text: "data: " + long + "\n\n", raw: []string{"data: " + long + "\n\n"}, ids: []string{""}, end: io.EOF},
		"too large":                  {text: strings.Repeat("data: "+long+"\n", 11), end: event.ErrTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var in io.Reader = strings.NewReader(test.text)
			if test.then != nil {
				in = io.MultiReader(in, iotest.ErrReader(test.then))
			}
			events := event.New(iotest.HalfReader(in))
			for i, want := range test.raw {
				next, err := events.Next()
				require.NoError(t, err)
				assert.Equal(t, want, string(next.Raw))
				assert.Equal(t, test.ids[i], next.ID)
			}
			_, err := events.Next()
			assert.ErrorIs(t, err, test.end)
		})
	}
}

// TestBuffered guards against an event that waits for the rest of the next one, and
// against a flush between events that came together.
func TestBuffered(t *testing.T) {
	tests := map[string]struct {
		next string
		want bool
	}{
		"nothing":                   {},
		"half a line":               {next: "id: 2\nda"},
		"no blank line":             {next: "id: 2\ndata: b\n"},
		"half a blank line":         {next: "id: 2\r\ndata: b\r\n\r"},
		"blank lines":               {next: "\n\n\n"},
		"blank lines, half a line":  {next: "\n\r\n\nid: 2"},
		"whole":                     {next: "id: 2\ndata: b\n\n", want: true},
		"whole, CRLF":               {next: "id: 2\r\ndata: b\r\n\r\n", want: true},
		"whole, CRLF after LF":      {next: "id: 2\ndata: b\n\r\n", want: true},
		"whole, blank lines before": {next: "\n\nid: 2\n\n", want: true},
		"whole, and a part":         {next: "id: 2\n\nid: 3\nda", want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			events := event.New(strings.NewReader("id: 1\ndata: a\n\n" + test.next))
			next, err := events.Next()
			require.NoError(t, err)
			assert.Equal(t, "1", next.ID)
			assert.Equal(t, test.want, events.Buffered())
			assert.Equal(t, "id: 1\ndata: a\n\n", string(next.Raw), "the event stays valid")
		})
	}
}

// vietnamese has letters with tone marks, both composed and decomposed.
const vietnamese = "Khắc tên: Nguyễn Thị Thìa, “trăm năm hạnh phúc” – Kha\u0306\u0301c te\u0302n, Hội An"

// TestTextIsUnchanged reads events of Vietnamese text whose lines end around the end
// of the reader's buffer, in reads that end anywhere within a letter.
func TestTextIsUnchanged(t *testing.T) {
	for name, split := range map[string]func(io.Reader) io.Reader{
		"one byte a read": iotest.OneByteReader, "half reads": iotest.HalfReader, "whole reads": func(r io.Reader) io.Reader { return r },
	} {
		t.Run(name, func(t *testing.T) {
			for padding := range 2 * len(vietnamese) {
				text := fmt.Sprintf("id: 1\ndata: %s%s\n\nid: 2\ndata: %s\n\n", strings.Repeat(" ", 4096-len(vietnamese)-padding), vietnamese, vietnamese)
				events := event.New(split(strings.NewReader(text)))
				read := ""
				for i := range 2 {
					next, err := events.Next()
					require.NoError(t, err)
					require.Equal(t, fmt.Sprint(i+1), next.ID)
					read += string(next.Raw)
				}
				require.Equal(t, text, read)
			}
		})
	}
}

func ExampleReader_Next() {
	events := event.New(strings.NewReader("id: 4\ndata: posts\n\n"))
	next, _ := events.Next()
	fmt.Println(next.ID)
	// Output: 4
}
