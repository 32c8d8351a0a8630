package proxy

import (
	"net/http"
	"net/url"
	"strings"
)

// requestURL returns the URL with which the HTTP client writes a path with its query as
// it is. The client adds the scheme to an opaque one that begins with two slashes.
func requestURL(address, target string) *url.URL {
	path, query, asked := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: asked}
	if strings.HasPrefix(path, "//") {
		u.Opaque, u.RawPath = "", path
		// A path that can't be unescaped fails the check of the written form.
		u.Path, _ = url.PathUnescape(path)
	}
	return u
}

// checkTarget rejects a request target that is no path, or that the HTTP client would
// change.
func checkTarget(target string) error {
	switch {
	case !strings.HasPrefix(target, "/"):
		return refusal("badRequest", http.StatusBadRequest, "the request target is no path", 0)
	case strings.Contains(target, "#") || requestURL("a", target).RequestURI() != target:
		return refusal("badRequest", http.StatusBadRequest, "the path can't be passed on unchanged", 0)
	}
	return nil
}
