package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/url"
	"slices"
	"strings"
)

// sharedScopeBytes is the length of the hash in the name of a shared scope.
const sharedScopeBytes = 16

// scopes are the namespaces in which the prompts of workspaces are cached. They depend on
// the configuration alone, so that all hosts that have it agree without knowing the ones
// before.
type scopes struct {
	// listed are the names of all workspaces.
	listed map[string]bool
	// own are the scopes of the isolated workspaces, by name.
	own map[string]string
	// shared is the scope of all others. It is named after the isolated ones: no request
	// of these was ever sent with it, while that of another configuration may hold parts
	// that they computed before they were isolated.
	shared string
}

func newScopes(workspaces []Workspace) scopes {
	s := scopes{listed: map[string]bool{}, own: map[string]string{}}
	for _, w := range workspaces {
		s.listed[w.Name] = true
		if w.Isolated {
			s.own[w.Name] = ownScope(w.Name)
		}
	}
	if len(s.own) > 0 {
		sum := sha256.Sum256([]byte(strings.Join(slices.Sorted(maps.Values(s.own)), "")))
		s.shared = "-" + hex.EncodeToString(sum[:sharedScopeBytes])
	}
	return s
}

// ownScope escapes the name, since blanks at the end of a header's value are lost, and
// since no two sets of scopes may join to the same text.
func ownScope(workspace string) string { return "/" + url.PathEscape(workspace) }

// CacheScope returns the scope in which engines cache the prompts of a workspace. An empty
// name means that a request has no workspace. Each isolated workspace has a scope of its own.
// So does a workspace that the configuration doesn't list, since it may have been removed
// while its requests were in progress. All others share a scope, which changes with the set
// of isolated workspaces.
func (p *Plan) CacheScope(workspace string) string {
	if own, ok := p.scopes.own[workspace]; ok {
		return own
	}
	if workspace != "" && !p.scopes.listed[workspace] {
		return ownScope(workspace)
	}
	return p.scopes.shared
}
