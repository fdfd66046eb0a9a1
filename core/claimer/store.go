package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Store is the part of the platform's key-value service that claims use.
type Store interface {
	// Get returns the current entry, with revision 0 if the key does not exist.
	// It must not return an entry older than a Put that has been answered.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes the value if the key has the expected revision, and returns
	// the new revision. Revision 0 means that the key must not exist.
	Put(ctx context.Context, key string, value []byte, expectedRevision uint64) (uint64, error)
}

// Entry is a stored value with its revision.
type Entry struct {
	Value    []byte
	Revision uint64
}

// keyPrefix separates claims from other entries in the store.
const keyPrefix = "claims/"

// Fingerprint identifies the request that uses a key.
type Fingerprint [sha256.Size]byte

// State is the state of a stored claim.
type State string

// States of a claim. The last two are final.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateNotRun  State = "not-run"
)

// Record is the value stored for a key.
type Record struct {
	State       State  `json:"state"`
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Claim is a unique identifier of the attempt.
	Claim         string `json:"claim"`
	Fingerprint   []byte `json:"fingerprint"`
	Result        []byte `json:"result,omitempty"`
	ResultDropped bool   `json:"result-dropped,omitempty"`
}

// StoreKey returns the key in the store for a caller's idempotency key. Hashing
// separates the keys of different callers and gives a short key with a fixed set
// of characters.
func StoreKey(caller, key string) string {
	h := sha256.New()
	callerHash := sha256.Sum256([]byte(caller))
	h.Write(callerHash[:])
	h.Write([]byte(key))
	return keyPrefix + hex.EncodeToString(h.Sum(nil))
}

func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		// Encoding a struct of strings, numbers and bytes cannot fail.
		panic(err)
	}
	return value
}

func decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, &Error{Op: "decode", Kind: KindMalformed, Err: err}
	}
	if r.State != StateClaimed && r.State != StateDone && r.State != StateNotRun {
		return Record{}, &Error{Op: "decode", Kind: KindMalformed}
	}
	return r, nil
}
