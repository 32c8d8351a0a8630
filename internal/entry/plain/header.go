package plain

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// KeyHeader names the header with the caller's idempotency key.
const KeyHeader = "Idempotency-Key"

const (
	internalPrefix  = "X-Cicadamill-"
	workspaceHeader = "X-Cicadamill-Workspace"
	repeatedHeader  = "X-Cicadamill-Repeated"
)

// hopByHop are headers that concern one connection alone.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ours are headers that only the router may set towards a target, or that are
// not for it.
var ours = []string{
	"Authorization", "X-Not-Run", "X-Attempt", "X-Workspace", "X-Incarnation", "X-Priority",
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip",
}

// outgoing returns the headers that a target gets of a caller's request.
func outgoing(r *http.Request, c call) http.Header {
	header := endToEnd(r.Header)
	for _, name := range ours {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) {
			delete(header, name)
		}
	}
	header.Del("Content-Length")
	header.Set(workspaceHeader, c.workspace)
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Set("X-Forwarded-For", host)
	}
	return header
}

// incoming returns the headers that a caller gets of a target's answer.
func incoming(from http.Header) http.Header {
	header := endToEnd(from)
	header.Del("X-Not-Run")
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) {
			delete(header, name)
		}
	}
	return header
}

// endToEnd copies headers without those of one connection.
func endToEnd(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	return header
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
