// Package auth maps the bearer key of a request to a workspace.
package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Keys maps the hashes of keys to workspaces. It is immutable: each
// configuration has its own Keys.
type Keys struct {
	byHash map[string]site.Workspace
}

// New returns the keys of all workspaces in a configuration.
//
//	workspace, ok := auth.New(config).Workspace(request.Header)
func New(config site.Config) Keys {
	keys := Keys{byHash: map[string]site.Workspace{}}
	for _, workspace := range config.Workspaces {
		for _, hash := range workspace.KeyHashes {
			keys.byHash[strings.ToLower(hash)] = workspace
		}
	}
	return keys
}

// Workspace returns the workspace whose key is the bearer token in the
// Authorization header, and whether there is one.
func (k Keys) Workspace(header http.Header) (site.Workspace, bool) {
	scheme, key, ok := strings.Cut(header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return site.Workspace{}, false
	}
	workspace, ok := k.byHash[Hash(strings.TrimSpace(key))]
	return workspace, ok
}

// Hash returns the SHA-256 hash of a key in hexadecimal, as the configuration
// stores it.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
