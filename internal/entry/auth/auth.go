// Package auth finds the workspace that a caller's bearer key stands for.
package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Keys maps key hashes to workspaces. It never changes; a new configuration
// makes new keys.
type Keys struct {
	byHash map[string]site.Workspace
}

// New returns the keys of a configuration.
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

// Workspace returns the workspace of the key in the Authorization header.
func (k Keys) Workspace(header http.Header) (site.Workspace, bool) {
	scheme, key, ok := strings.Cut(header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return site.Workspace{}, false
	}
	workspace, ok := k.byHash[Hash(strings.TrimSpace(key))]
	return workspace, ok
}

// Hash returns the form in which the configuration stores a key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
