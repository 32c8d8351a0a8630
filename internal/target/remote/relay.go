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
	// maxMessageBytes is the maximum length of an engine's error message that is kept.
	maxMessageBytes = 256
	// maxLineBytes limits a line, which holds one chunk of an answer.
	maxLineBytes = 64 << 10
)

var (
	dataField  = []byte("data:")
	idField    = []byte("id:")
	errorEvent = []byte("event: error")
	errorData  = []byte(`{"error":`)
	endMarker  = []byte("[DONE]")
	usageField = []byte(`"usage":{`)
)

// relay reads server-sent events and passes them to sink until the engine's
// end marker.
func (c *Client) relay(body io.ReadCloser, offset int, sink func(engine.Event) error) error {
	reader := bufio.NewReaderSize(body, readBufferBytes)
	done := engine.Done{}
	next, sawErrorEvent := offset, false
	for {
		line, err := readLine(reader)
		if err != nil {
			return c.failure(engine.Broken, effect.Unknown{Reason: "the answer ended early"}, err.Error())
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			next = eventID(value, next)
			continue
		}
		sawErrorEvent = sawErrorEvent || bytes.Equal(line, errorEvent)
		value, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		value = bytes.TrimSpace(value)
		if sawErrorEvent || bytes.HasPrefix(value, errorData) {
			return c.failure(engine.Broken, effect.Unknown{Reason: "the engine reported an error"}, string(value[:min(len(value), maxMessageBytes)]))
		}
		if bytes.IndexByte(value, '\r') >= 0 {
			return c.failure(engine.Broken, effect.Unknown{Reason: "a chunk holds a line break"}, "carriage return in a chunk")
		}
		if bytes.Equal(value, endMarker) {
			return drain(body, reader, sink(done))
		}
		if bytes.Contains(value, usageField) {
			done = parseUsage(value, done)
		}
		if err := sink(engine.Token{Offset: next, Data: value}); err != nil {
			return err
		}
		next++
	}
}

// drain reads the rest of a response, so that its connection can be reused. It
// stops after drainTimeout or when anything but blank lines follows; the
// connection is then closed.
func drain(body io.ReadCloser, reader *bufio.Reader, err error) error {
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

// readLine returns a line without its line break. The line is valid until the
// next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if err != bufio.ErrBufferFull {
		return nil, unexpectedEOF(err)
	}
	long := bytes.Clone(line)
	for err == bufio.ErrBufferFull {
		if len(long) > maxLineBytes {
			return nil, bufio.ErrTooLong
		}
		line, err = reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return bytes.TrimRight(long, "\r\n"), unexpectedEOF(err)
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func eventID(value []byte, fallback int) int {
	id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	if err != nil {
		return fallback
	}
	return id
}

func parseUsage(data []byte, done engine.Done) engine.Done {
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
