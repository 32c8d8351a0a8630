// Package answer rejects HTTP responses that are invalid although net/http accepts them.
package answer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// minStatus is the lowest status of an answer. Lower ones of three digits are interim
	// answers, which net/http skips, and a switch of protocol, which nobody asks for.
	minStatus = 200
	// maxStatus is the highest status (RFC 9110, section 15).
	maxStatus = 599
	// maxHeadBytes limits the head of a response, interim ones before it included. A
	// faulty server may send one without end on every connection to it.
	maxHeadBytes = 16 << 10
	// maxErrorBytes limits the text of an error.
	maxErrorBytes = 256
)

// InvalidError means that a response is no valid answer. The request may have run.
type InvalidError struct {
	// Reason is what is invalid.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return "invalid answer: " + e.Reason }

// body is the body of a response. Its errors are short.
type body struct{ io.ReadCloser }

// Read implements [io.Reader].
func (b body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && err != io.EOF {
		err = &shortError{cause: err}
	}
	return n, err
}

// shortError shortens the text of an error. Those of net/http quote the server's bytes, a
// head at most, and end up in log lines.
type shortError struct{ cause error }

// Error implements error.
func (e *shortError) Error() string {
	text := e.cause.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], "")
}

// Unwrap returns the whole error.
func (e *shortError) Unwrap() error { return e.cause }

// Transport is an [http.RoundTripper] that returns only valid responses. See [New].
type Transport struct{ *http.Transport }

// New returns a transport that returns an [*InvalidError] in place of a response of
// another one that is invalid. It limits the heads of that one's responses to 16 KiB, and
// the texts of its errors.
//
//	client := &http.Client{Transport: answer.New(&http.Transport{})}
func New(transport *http.Transport) *Transport {
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return &Transport{Transport: transport}
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, &shortError{cause: err}
	}
	if err := check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = body{ReadCloser: response.Body}
	return response, nil
}

func check(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return &InvalidError{Reason: fmt.Sprintf("version %.20q", response.Proto)}
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return &InvalidError{Reason: fmt.Sprintf("status %.20q", response.Status)}
	}
	for name := range response.Header {
		// To some recipients "Content-Length : 2" is the length, to others another field.
		if strings.Contains(name, " ") {
			return &InvalidError{Reason: fmt.Sprintf("field name %.40q", name)}
		}
	}
	return nil
}
