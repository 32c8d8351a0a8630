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

// MaxHops is the number of times that a request may be handed on.
const MaxHops = 1

const (
	maxJobBytes   = 32 << 20
	beatInterval  = time.Second
	statusTooMany = http.StatusLoopDetected

	acceptedKind = "accepted"
	doneKind     = "done"
	errorKind    = "error"
)

var (
	eventField = []byte("event: ")
	idField    = []byte("id: ")
	dataField  = []byte("data: ")
	beat       = []byte(":\n\n")
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

// Handler takes requests of other nodes and has run answer them on a cell of
// this node. A request that was handed on too often is refused, not run.
//
//	mux.Handle(hop.Path, hop.Handler(steer.RunHere))
func Handler(run func(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j, err := readJob(w, r)
		if err != nil {
			refuse(w, err)
			return
		}
		out := &writer{w: w, flusher: http.NewResponseController(w)}
		ctx, cancel := context.WithCancel(r.Context())
		stopped := out.begin(ctx)
		err = run(ctx, r.Header.Get(cellHeader), j, out.event)
		cancel()
		<-stopped
		if err != nil {
			_ = out.send(errorKind, encodeFailure(err))
		}
	})
}

func readJob(w http.ResponseWriter, r *http.Request) (job.Job, error) {
	var j job.Job
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBytes)).Decode(&j); err != nil {
		return j, &fault.Error{Code: "badHop", Status: http.StatusBadRequest, Outcome: effect.NotRun{Reason: "the request was not read"}, Message: err.Error()}
	}
	if j.Hops < 1 || j.Hops > MaxHops {
		return j, &fault.Error{Code: "hopLimit", Status: statusTooMany, Outcome: effect.NotRun{Reason: "handed on too often"}, Message: "handed on " + strconv.Itoa(j.Hops) + " times"}
	}
	return j, nil
}

func refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.From(err).Status)
	_, _ = w.Write(encodeFailure(err))
}

// writer encodes events for the node that handed the request on.
type writer struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	flusher *http.ResponseController
	buffer  []byte
	wrote   bool
}

// begin tells at once that the request was taken, and then now and then that
// this node still lives, until the context ends.
func (s *writer) begin(ctx context.Context) <-chan struct{} {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
	_ = s.flusher.Flush()
	stopped := make(chan struct{})
	go func(ctx context.Context) {
		defer close(stopped)
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				s.beat()
			}
		}
	}(ctx)
	return stopped
}

// beat fills a silence; events since the last one speak for themselves.
func (s *writer) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wrote {
		s.wrote = false
		return
	}
	_ = s.write(beat)
}

func (s *writer) event(event engine.Event) error {
	switch e := event.(type) {
	case engine.Accepted:
		encoded, err := json.Marshal(e)
		if err != nil {
			return err
		}
		return s.send(acceptedKind, encoded)
	case engine.Token:
		return s.token(e)
	case engine.Done:
		encoded, err := json.Marshal(e)
		if err != nil {
			return err
		}
		return s.send(doneKind, encoded)
	default:
		return nil
	}
}

// token passes the chunk's bytes on as they are.
func (s *writer) token(e engine.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = append(s.buffer[:0], idField...)
	s.buffer = strconv.AppendInt(s.buffer, int64(e.Offset), 10)
	s.buffer = append(s.buffer, '\n')
	s.buffer = append(s.buffer, dataField...)
	s.buffer = append(s.buffer, e.Data...)
	s.buffer = append(s.buffer, "\n\n"...)
	s.wrote = true
	return s.write(s.buffer)
}

func (s *writer) send(kind string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = append(s.buffer[:0], eventField...)
	s.buffer = append(s.buffer, kind...)
	s.buffer = append(s.buffer, '\n')
	s.buffer = append(s.buffer, dataField...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	s.wrote = true
	return s.write(s.buffer)
}

func (s *writer) write(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.flusher.Flush()
}

// readLine returns a line without its end; it is valid until the next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == nil {
		return line[:len(line)-1], nil
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
	if err != nil {
		return nil, noEOF(err)
	}
	return whole[:len(whole)-1], nil
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
