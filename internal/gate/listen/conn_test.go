package listen

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pipe returns a tracked connection that the server considers idle, and the
// client's end of it.
func pipe(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	server, client := net.Pipe()
	t.Cleanup(func() { _ = server.Close() })
	t.Cleanup(func() { _ = client.Close() })
	c := &conn{Conn: server, onClose: func(*conn) {}}
	connState(c, http.StateIdle)
	return c, client
}

// send writes text at the client's end and reads it at the server's.
func send(t *testing.T, c *conn, client net.Conn, text string) {
	t.Helper()
	written := make(chan error, 1)
	go func(context.Context) {
		_, err := io.WriteString(client, text)
		written <- err
	}(t.Context())
	got := make([]byte, len(text))
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	require.NoError(t, <-written)
}

// After the first bytes of a request, the server still reports the connection as
// idle. Closing it then would lose the request.
func TestHalfARequestKeepsItsConnection(t *testing.T) {
	c, client := pipe(t)
	send(t, c, client, "POST / HTTP/1.1\r\nHo")
	c.closeIdle()
	send(t, c, client, "st: a\r\n\r\n")
}

func TestClosedConnectionGivesNoBytes(t *testing.T) {
	c, client := pipe(t)
	c.closeIdle()
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed, "a request that arrives during the close is not delivered")
	_, err = io.WriteString(client, "POST")
	assert.Error(t, err)
}

// While a request is in progress the connection must stay open, and after the
// response the next closeIdle must close it.
func TestAnsweredConnectionIsIdleAgain(t *testing.T) {
	c, client := pipe(t)
	send(t, c, client, "GET / HTTP/1.1\r\n\r\n")
	connState(c, http.StateActive)
	read := make(chan error, 1)
	go func(context.Context) {
		_, err := io.ReadFull(client, make([]byte, 2))
		read <- err
	}(t.Context())
	_, err := c.Write([]byte("ok"))
	require.NoError(t, err)
	require.NoError(t, <-read)
	c.closeIdle()
	send(t, c, client, "more")
	go func(context.Context) {
		_, err := io.ReadFull(client, make([]byte, 2))
		read <- err
	}(t.Context())
	_, err = c.Write([]byte("ok"))
	require.NoError(t, err)
	require.NoError(t, <-read)
	connState(c, http.StateIdle)
	c.closeIdle()
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
}
