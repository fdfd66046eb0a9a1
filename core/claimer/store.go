package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Store is the part of the platform's key-value service that claims need.
type Store interface {
	// Get returns the current entry, with revision 0 if the key does not
	// exist. It must not return an entry older than an answered Put.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes the value if the key has the expected revision, 0 for a key
	// that must not exist, and returns the new revision.
	Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error)
}

// Entry is one value of the store with its revision.
type Entry struct {
	Value    []byte
	Revision uint64
}

// keyPrefix separates claims from the other entries of the store.
const keyPrefix = "claims/"

// Fingerprint identifies the request that a key is used with.
type Fingerprint [sha256.Size]byte

// State is the state of a claim in the store.
type State string

// States of a claim. The last two are final.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateNotRun  State = "not-run"
)

// Record is the value written to the store for a key.
type Record struct {
	State       State  `json:"state"`
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Claim is unique to one attempt of one incarnation.
	Claim         string `json:"claim"`
	Fingerprint   []byte `json:"fingerprint"`
	Result        []byte `json:"result,omitempty"`
	ResultDropped bool   `json:"result-dropped,omitempty"`
}

// StoreKey returns the store's key for the idempotency key of a caller. The
// hash keeps callers apart and the key short, whatever characters it has.
func StoreKey(caller, key string) string {
	h := sha256.New()
	inner := sha256.Sum256([]byte(caller))
	h.Write(inner[:])
	h.Write([]byte(key))
	return keyPrefix + hex.EncodeToString(h.Sum(nil))
}

func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		// A struct of strings, numbers and bytes always has an encoding.
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
