package remote

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	readBufferBytes = 4 << 10
	drainTimeout    = 100 * time.Millisecond
	maxMessage      = 256
	maxLineBytes    = 1 << 20
)

var (
	dataField  = []byte("data:")
	idField    = []byte("id:")
	errorEvent = []byte("event: error")
	errorData  = []byte(`{"error":`)
	endMarker  = []byte("[DONE]")
	usageField = []byte(`"usage":{`)
)

// relay reads server-sent events and hands them on until the engine's own end.
func (c *Client) relay(body io.ReadCloser, offset int, sink func(engine.Event) error) error {
	reader := bufio.NewReaderSize(body, readBufferBytes)
	done := engine.Done{}
	next, failing := offset, false
	for {
		line, err := readLine(reader)
		if err != nil {
			return c.failure(engine.Broken, effect.Unknown{Reason: "the answer ended early"}, err.Error())
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			next = eventID(value, next)
			continue
		}
		failing = failing || bytes.Equal(line, errorEvent)
		value, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		value = bytes.TrimSpace(value)
		if failing || bytes.HasPrefix(value, errorData) {
			return c.failure(engine.Broken, effect.Unknown{Reason: "the engine reported an error"}, string(value[:min(len(value), maxMessage)]))
		}
		if bytes.IndexByte(value, '\r') >= 0 {
			return c.failure(engine.Broken, effect.Unknown{Reason: "a chunk holds a line break"}, "carriage return in a chunk")
		}
		if bytes.Equal(value, endMarker) {
			return finish(body, reader, sink(done))
		}
		if bytes.Contains(value, usageField) {
			done = usage(value, done)
		}
		if err := sink(engine.Token{Offset: next, Data: value}); err != nil {
			return err
		}
		next++
	}
}

// finish reads the last bytes of an answer, so that its connection can serve
// another call. One that doesn't end now, or has more to say, is closed.
func finish(body io.ReadCloser, reader *bufio.Reader, err error) error {
	if err != nil {
		return err
	}
	timer := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	for {
		rest, err := reader.ReadSlice('\n')
		if err != nil || len(bytes.TrimSpace(rest)) > 0 {
			return nil
		}
	}
}

// readLine returns a line without its end. The result is valid until the next
// read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if err != bufio.ErrBufferFull {
		return nil, noEOF(err)
	}
	whole := bytes.Clone(line)
	for err == bufio.ErrBufferFull {
		if len(whole) > maxLineBytes {
			return nil, bufio.ErrTooLong
		}
		line, err = reader.ReadSlice('\n')
		whole = append(whole, line...)
	}
	return bytes.TrimRight(whole, "\r\n"), noEOF(err)
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func eventID(value []byte, otherwise int) int {
	id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	if err != nil {
		return otherwise
	}
	return id
}

func usage(data []byte, done engine.Done) engine.Done {
	var body struct {
		Usage struct {
			Prompt  int `json:"prompt_tokens"`
			Output  int `json:"completion_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &body) != nil {
		return done
	}
	return engine.Done{
		PromptTokens: body.Usage.Prompt,
		CachedTokens: body.Usage.Details.Cached,
		OutputTokens: body.Usage.Output,
	}
}
