package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
)

// The prefixes of the ledger's rows and objects.
const (
	// ReservationPrefix begins the keys of reservations.
	ReservationPrefix = "effects/r/"
	// AnswerPrefix begins the keys of kept answers, in the table and in the
	// object store.
	AnswerPrefix = "effects/a/"
)

// Record is a reservation as it is stored.
type Record struct {
	// Nonce names the owner.
	Nonce string `json:"nonce"`
	// Digest binds the key to what was asked for.
	Digest string `json:"digest"`
	// Expires is when the row may be removed, in Unix seconds.
	Expires int64 `json:"expires"`
}

// Answer is what became of a call, as it is stored under the owner's nonce.
type Answer struct {
	// Ran is "answered", "notRun" or "unknown".
	Ran string `json:"ran"`
	// Status is the target's HTTP status.
	Status int `json:"status,omitempty"`
	// Header are the target's headers that are passed on.
	Header http.Header `json:"header,omitempty"`
	// Body is the target's answer, when it is small.
	Body []byte `json:"body,omitempty"`
	// Object is true when the body is in the object store.
	Object bool `json:"object,omitempty"`
	// Lost is true when the body could not be kept.
	Lost bool `json:"lost,omitempty"`
	// Expires is when the row may be removed, in Unix seconds.
	Expires int64 `json:"expires"`
}

// RowKey returns the key of the reservation for a workspace's idempotency key.
// Workspaces never share one.
func RowKey(workspace, key string) string {
	return ReservationPrefix + sum(workspace, key)
}

// AnswerKey returns the key under which an owner keeps its answer.
func AnswerKey(nonce string) string { return AnswerPrefix + nonce }

// Digest binds an idempotency key to one service, method, path with query,
// content type and body.
func Digest(service, method, target, contentType string, body []byte) string {
	return sum(service, method, target, contentType, string(body))
}

// sum hashes parts, each with its length, so that no two lists collide.
func sum(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":"))
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
