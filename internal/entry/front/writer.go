package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/entry/resume"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	// defaultWriteTimeout is how long a write may block on a caller that does not
	// read.
	defaultWriteTimeout = 30 * time.Second
	// renewalsPerTimeout limits how often the write deadline is renewed; a renewal
	// for each event would cost more.
	renewalsPerTimeout = 30
)

// writer encodes engine events as server-sent events. The response header is
// sent with the first chunk, so that another engine can take over the request
// until then. It buffers at most one event: a slow caller applies backpressure
// to the engine and is disconnected after the write timeout.
type writer struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	point    resume.Position
	started  bool
	timeout  time.Duration
	deadline time.Time
	prefix   []byte
	buffer   []byte
}

func newWriter(w http.ResponseWriter, j job.Job, timeout time.Duration) *writer {
	s := &writer{w: w, timeout: timeout, control: http.NewResponseController(w)}
	s.point = resume.Position{WeightVersion: j.WeightVersion, Digest: resume.Digest(j)}
	s.setIDPrefix(j.WeightVersion)
	return s
}

func (s *writer) handle(event engine.Event) error {
	switch e := event.(type) {
	case engine.Accepted:
		s.accept(e)
		return nil
	case engine.Token:
		return s.writeToken(e)
	case engine.Done:
		return s.write(append(s.buffer[:0], "data: [DONE]\n\n"...))
	default:
		return nil
	}
}

func (s *writer) accept(e engine.Accepted) {
	if !s.started {
		setAnswerHeaders(s.w.Header(), e)
	}
	s.setIDPrefix(e.WeightVersion)
}

// setIDPrefix sets the common prefix of the event IDs.
func (s *writer) setIDPrefix(weightVersion string) {
	s.point.WeightVersion = weightVersion
	s.prefix = s.point.AppendPrefix(append(s.prefix[:0], "id: "...))
}

func (s *writer) writeToken(e engine.Token) error {
	s.buffer = append(s.buffer[:0], s.prefix...)
	s.buffer = strconv.AppendInt(s.buffer, int64(e.Offset), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, e.Data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.write(s.buffer)
}

// writeError ends a partly sent response with an error event.
func (s *writer) writeError(err error) error {
	data := append([]byte("event: error\ndata: "), fault.Encode(err)...)
	return s.write(append(data, "\n\n"...))
}

func (s *writer) write(data []byte) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	s.extendDeadline()
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

// extendDeadline moves the write deadline forward. The error of response writers
// that do not support deadlines, such as recorders in tests, is ignored.
func (s *writer) extendDeadline() {
	now := time.Now()
	if s.deadline.Sub(now) > s.timeout-s.timeout/renewalsPerTimeout {
		return
	}
	s.deadline = now.Add(s.timeout)
	_ = s.control.SetWriteDeadline(s.deadline)
}

// clearDeadline removes the write deadline, since the connection may serve other
// requests.
func (s *writer) clearDeadline() { _ = s.control.SetWriteDeadline(time.Time{}) }
