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
	// defaultWrite is how long a caller may take no byte while some are due.
	defaultWrite = 30 * time.Second
	// renewals is the number of deadlines set within that time; one for each
	// event would cost more.
	renewals = 30
)

// writer encodes events for a caller. The head of the answer goes out with the
// first chunk, so that until then another engine may still take over. It holds
// no more than one event: when a caller reads slowly, the engine waits, and
// after its timeout the caller is cut off.
type writer struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	point    resume.Point
	begun    bool
	timeout  time.Duration
	deadline time.Time
	prefix   []byte
	buffer   []byte
}

func newWriter(w http.ResponseWriter, j job.Job, timeout time.Duration) *writer {
	s := &writer{w: w, timeout: timeout, control: http.NewResponseController(w)}
	s.point = resume.Point{WeightVersion: j.WeightVersion, Digest: resume.Digest(j)}
	s.name(j.WeightVersion)
	return s
}

func (s *writer) event(event engine.Event) error {
	switch e := event.(type) {
	case engine.Accepted:
		s.accept(e)
		return nil
	case engine.Token:
		return s.token(e)
	case engine.Done:
		return s.write(append(s.buffer[:0], "data: [DONE]\n\n"...))
	default:
		return nil
	}
}

func (s *writer) accept(e engine.Accepted) {
	if !s.begun {
		setAnswerHeaders(s.w.Header(), e)
	}
	s.name(e.WeightVersion)
}

// name sets what the event IDs begin with.
func (s *writer) name(weightVersion string) {
	s.point.WeightVersion = weightVersion
	s.prefix = s.point.AppendPrefix(append(s.prefix[:0], "id: "...))
}

func (s *writer) token(e engine.Token) error {
	s.buffer = append(s.buffer[:0], s.prefix...)
	s.buffer = strconv.AppendInt(s.buffer, int64(e.Offset), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, e.Data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.write(s.buffer)
}

// fail tells a caller who already has a part of the answer that no more comes.
func (s *writer) fail(err error) error {
	data := append([]byte("event: error\ndata: "), fault.Encode(err)...)
	return s.write(append(data, "\n\n"...))
}

func (s *writer) write(data []byte) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	s.renew()
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

// renew moves the write deadline forward. A writer that knows no deadlines, as
// in tests, has none.
func (s *writer) renew() {
	now := time.Now()
	if s.deadline.Sub(now) > s.timeout-s.timeout/renewals {
		return
	}
	s.deadline = now.Add(s.timeout)
	_ = s.control.SetWriteDeadline(s.deadline)
}

// close lifts the deadline from the connection, which may serve other requests.
func (s *writer) close() { _ = s.control.SetWriteDeadline(time.Time{}) }
