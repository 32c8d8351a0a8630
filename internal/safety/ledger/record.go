package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
)

// Key prefixes of the ledger's rows and objects.
const (
	// ReservationPrefix is the key prefix of reservations.
	ReservationPrefix = "effects/r/"
	// AnswerPrefix is the key prefix of stored answers, in the table and in the
	// object store.
	AnswerPrefix = "effects/a/"
)

// Record is the stored form of a reservation.
type Record struct {
	// Nonce identifies the owner.
	Nonce string `json:"nonce"`
	// Digest identifies the content of the request that reserved the key.
	Digest string `json:"digest"`
	// Expires is when the row may be removed, in Unix seconds.
	Expires int64 `json:"expires"`
}

// Answer is the stored outcome of a call, keyed by the owner's nonce.
type Answer struct {
	// Outcome is "answered", "notRun" or "unknown".
	Outcome string `json:"ran"`
	// Status is the HTTP status from the target.
	Status int `json:"status,omitempty"`
	// Header holds the headers from the target that are passed to clients.
	Header http.Header `json:"header,omitempty"`
	// Body is the response body if it is small enough for the row.
	Body []byte `json:"body,omitempty"`
	// Object is true if the body is in the object store.
	Object bool `json:"object,omitempty"`
	// Lost is true if the body could not be stored.
	Lost bool `json:"lost,omitempty"`
	// Expires is when the row may be removed, in Unix seconds.
	Expires int64 `json:"expires"`
}

// RowKey returns the key of the reservation for an idempotency key. The same
// idempotency key in two workspaces gives two different rows.
func RowKey(workspace, key string) string {
	return ReservationPrefix + sum(workspace, key)
}

// AnswerKey returns the key of the stored answer of an owner.
func AnswerKey(nonce string) string { return AnswerPrefix + nonce }

// Digest identifies a request by its service, method, path with query, content
// type and body. An idempotency key can't be reused with another digest.
func Digest(service, method, target, contentType string, body []byte) string {
	return sum(service, method, target, contentType, string(body))
}

// sum hashes each part with its length, so that different lists whose
// concatenations are equal get different hashes.
func sum(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":"))
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
