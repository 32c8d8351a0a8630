package wire_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/peer/note"
	"github.com/cicadamill/cicadamill/internal/peer/wire"
)

type fakeNode struct {
	received note.Note
	reply    note.Note
	err      error
}

func (f *fakeNode) Receive(_ context.Context, incoming note.Note) (note.Note, error) {
	f.received = incoming
	return f.reply, f.err
}

func (f *fakeNode) Reaches(_ context.Context, name, _ string) bool { return name == "node-2" }

func sampleNote() note.Note {
	return note.Note{
		From: note.Entry{Name: "node-1", Address: "10.0.0.1:7000", DataCentre: "tema", Incarnation: 7, State: note.Alive, Version: 3}, Digest: 1<<64 - 1, Joining: true,
		Entries: []note.Entry{{Name: "node-2", Incarnation: 1, State: note.Suspect, ReportedBy: "node-1"}},
		Marks:   []note.Mark{{Target: "engine-1", Incarnation: "a"}},
		Crashes: []note.Crash{{Fingerprint: 1<<64 - 2, Count: 2, AgeMillis: 10}},
	}
}

func start(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestExchangeCarriesWholeNotes(t *testing.T) {
	node := &fakeNode{reply: sampleNote()}
	node.reply.From.Name = "node-3"
	address := start(t, wire.Handler(node))
	incoming, err := wire.New("http", &http.Client{}).Exchange(context.Background(), address, sampleNote())
	require.NoError(t, err)
	assert.Equal(t, sampleNote(), node.received)
	assert.Equal(t, node.reply, incoming)
}

func TestExchangeFails(t *testing.T) {
	tests := map[string]http.Handler{
		"node refuses":     wire.Handler(&fakeNode{err: errors.New("stopping")}),
		"no JSON":          http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }),
		"wrong service":    http.NotFoundHandler(),
		"connection reset": http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := wire.New("http", &http.Client{}).Exchange(context.Background(), start(t, handler), sampleNote())
			assert.Error(t, err)
		})
	}
}

func TestBadBodiesAreRefused(t *testing.T) {
	address := start(t, wire.Handler(&fakeNode{}))
	for _, path := range []string{wire.NotesPath, wire.ProbesPath} {
		for name, body := range map[string]string{"empty": "", "too long": `{"from":{"name":"` + strings.Repeat("x", 128<<10) + `"}}`} {
			t.Run(path+" "+name, func(t *testing.T) {
				response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader([]byte(body)))
				require.NoError(t, err)
				_ = response.Body.Close()
				assert.Equal(t, http.StatusBadRequest, response.StatusCode)
			})
		}
	}
}

func TestProbe(t *testing.T) {
	address := start(t, wire.Handler(&fakeNode{}))
	client := wire.New("http", &http.Client{})
	reached, err := client.Probe(context.Background(), address, "node-2", "x")
	require.NoError(t, err)
	assert.True(t, reached)
	reached, err = client.Probe(context.Background(), address, "node-3", "x")
	require.NoError(t, err)
	assert.False(t, reached)
}
