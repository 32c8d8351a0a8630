package hop

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// MaxHops is the number of times that a request may be forwarded.
const MaxHops = 1

const (
	maxJobBytes       = 32 << 20
	heartbeatInterval = time.Second
	statusHopLimit    = http.StatusLoopDetected

	acceptedKind = "accepted"
	doneKind     = "done"
	errorKind    = "error"
)

var (
	eventField = []byte("event: ")
	idField    = []byte("id: ")
	dataField  = []byte("data: ")
	heartbeat  = []byte(":\n\n")
)

func kindOf(name []byte) string {
	switch string(name) {
	case acceptedKind:
		return acceptedKind
	case doneKind:
		return doneKind
	case errorKind:
		return errorKind
	default:
		return "unknown"
	}
}

// Handler accepts forwarded requests and calls run to handle each on a cell of
// this node. A request that was forwarded more than [MaxHops] times is refused
// without being run.
//
//	mux.Handle(hop.Path, hop.Handler(forwarder.RunForwarded))
func Handler(run func(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j, err := readJob(w, r)
		if err != nil {
			writeError(w, err)
			return
		}
		out := &eventWriter{response: w, flusher: http.NewResponseController(w)}
		ctx, cancel := context.WithCancel(r.Context())
		stopped := out.start(ctx)
		err = run(ctx, r.Header.Get(cellHeader), j, out.writeEvent)
		cancel()
		<-stopped
		if err != nil {
			_ = out.writeNamedEvent(errorKind, encodeError(err))
		}
	})
}

func readJob(w http.ResponseWriter, r *http.Request) (job.Job, error) {
	var j job.Job
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBytes)).Decode(&j); err != nil {
		return j, &fault.Error{Code: "badHop", Status: http.StatusBadRequest, Outcome: effect.NotRun{Reason: "the request was not read"}, Message: err.Error()}
	}
	if j.Hops < 1 || j.Hops > MaxHops {
		return j, &fault.Error{Code: "hopLimit", Status: statusHopLimit, Outcome: effect.NotRun{Reason: "handed on too often"}, Message: "handed on " + strconv.Itoa(j.Hops) + " times"}
	}
	return j, nil
}

func writeError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.From(err).Status)
	_, _ = w.Write(encodeError(err))
}

// eventWriter encodes events for the node that forwarded the request.
type eventWriter struct {
	mu       sync.Mutex
	response http.ResponseWriter
	flusher  *http.ResponseController
	buffer   []byte
	active   bool // an event was written since the last heartbeat was due
}

// start sends the response header at once, which shows that the request was
// accepted, and heartbeats until the context ends. The returned channel is
// closed after the last heartbeat.
func (w *eventWriter) start(ctx context.Context) <-chan struct{} {
	w.response.Header().Set("Content-Type", "text/event-stream")
	w.response.WriteHeader(http.StatusOK)
	_ = w.flusher.Flush()
	stopped := make(chan struct{})
	go func(ctx context.Context) {
		defer close(stopped)
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				w.writeHeartbeat()
			}
		}
	}(ctx)
	return stopped
}

// writeHeartbeat writes a heartbeat unless an event has been written since it
// was last due.
func (w *eventWriter) writeHeartbeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active {
		w.active = false
		return
	}
	_ = w.writeAndFlush(heartbeat)
}

func (w *eventWriter) writeEvent(event engine.Event) error {
	switch e := event.(type) {
	case engine.Accepted:
		encoded, err := json.Marshal(e)
		if err != nil {
			return err
		}
		return w.writeNamedEvent(acceptedKind, encoded)
	case engine.Token:
		return w.writeToken(e)
	case engine.Done:
		encoded, err := json.Marshal(e)
		if err != nil {
			return err
		}
		return w.writeNamedEvent(doneKind, encoded)
	default:
		return nil
	}
}

// writeToken writes a token's data unchanged.
func (w *eventWriter) writeToken(e engine.Token) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = append(w.buffer[:0], idField...)
	w.buffer = strconv.AppendInt(w.buffer, int64(e.Offset), 10)
	w.buffer = append(w.buffer, '\n')
	w.buffer = append(w.buffer, dataField...)
	w.buffer = append(w.buffer, e.Data...)
	w.buffer = append(w.buffer, "\n\n"...)
	w.active = true
	return w.writeAndFlush(w.buffer)
}

func (w *eventWriter) writeNamedEvent(kind string, data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = append(w.buffer[:0], eventField...)
	w.buffer = append(w.buffer, kind...)
	w.buffer = append(w.buffer, '\n')
	w.buffer = append(w.buffer, dataField...)
	w.buffer = append(w.buffer, data...)
	w.buffer = append(w.buffer, "\n\n"...)
	w.active = true
	return w.writeAndFlush(w.buffer)
}

func (w *eventWriter) writeAndFlush(data []byte) error {
	if _, err := w.response.Write(data); err != nil {
		return err
	}
	return w.flusher.Flush()
}

// readLine returns a line without its line break. The line is valid until the
// next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == nil {
		return line[:len(line)-1], nil
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
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	return long[:len(long)-1], nil
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
