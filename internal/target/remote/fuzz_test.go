package remote

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// FuzzRelay passes arbitrary bytes to relay as the response of an engine. It
// must return; it may succeed only with the engine's end marker; no chunk may
// contain a line break, which would forge an event; and the result must not
// depend on how the bytes are split into reads.
func FuzzRelay(f *testing.F) {
	for _, seed := range []string{
		"id: 0\ndata: {\"a\":1}\n\ndata: [DONE]\n\n",
		"data: {\"usage\":{\"prompt_tokens\":3}}\r\n\r\ndata: [DONE]\r\n",
		"id: 7\ndata: {}\n\nid: x\ndata: {}\n\n",
		"event: error\ndata: {}\n\n",
		"data: {\"error\":{}}\n\n",
		": comment\nretry: 5\ndata:{}\n\ndata:[DONE]\n",
		"data: " + strings.Repeat("x", 5000) + "\n\ndata: [DONE]\n\n",
		"data: a\rdata: b\n\n",
		"data: {\"cut",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		whole, err := relayAll(t, bytes.NewReader(body))
		cut, errCut := relayAll(t, iotest.OneByteReader(bytes.NewReader(body)))
		assert.Equal(t, whole, cut)
		assert.Equal(t, err == nil, errCut == nil)
		if err == nil {
			assert.Contains(t, string(body), "[DONE]")
			return
		}
		var failure *engine.Error
		require.True(t, errors.As(err, &failure))
	})
}

func relayAll(t *testing.T, body io.Reader) ([]string, error) {
	t.Helper()
	var chunks []string
	done := false
	err := New("engine", nil).relay(io.NopCloser(body), 0, func(event engine.Event) error {
		assert.False(t, done, "event after the end of the answer")
		switch e := event.(type) {
		case engine.Token:
			assert.NotContains(t, string(e.Data), "\n")
			assert.NotContains(t, string(e.Data), "\r")
			chunks = append(chunks, string(e.Data))
		case engine.Done:
			done = true
		}
		return nil
	})
	assert.Equal(t, err == nil, done)
	return chunks, err
}
