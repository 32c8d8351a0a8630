package plain

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// IdempotencyKeyHeader is the request header with the idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

const (
	internalPrefix  = "X-Cicadamill-"
	workspaceHeader = "X-Cicadamill-Workspace"
	repeatedHeader  = "X-Cicadamill-Repeated"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// routerHeaders lists the request headers that only the router may set for a
// target, or that targets must not receive.
var routerHeaders = []string{
	"Authorization", "X-Not-Run", "X-Attempt", "X-Workspace", "X-Incarnation", "X-Priority",
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip",
}

// targetHeader returns the header of a caller's request as sent to a target.
func targetHeader(r *http.Request, c call) http.Header {
	header := endToEnd(r.Header)
	for _, name := range routerHeaders {
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

// callerHeader returns the header of a target's response as sent to a caller.
func callerHeader(from http.Header) http.Header {
	header := endToEnd(from)
	header.Del("X-Not-Run")
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) {
			delete(header, name)
		}
	}
	return header
}

// endToEnd returns a copy of a header without the hop-by-hop headers.
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
