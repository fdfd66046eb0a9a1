package ticketer

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
)

// keyPurpose is the HKDF info string. It separates the ticket key from other
// keys derived from the shared key, so that no other protocol accepts a ticket's
// tag.
const keyPurpose = "jackdawcart ticket v1"

// Keyring signs tickets with the current key and also accepts previous ones.
type Keyring struct {
	keys [][]byte
}

// NewKeyring derives ticket keys from the current shared key and from previous
// shared keys that are still accepted during a key rotation.
func NewKeyring(current []byte, previous ...[]byte) (*Keyring, error) {
	r := &Keyring{}
	for _, shared := range append([][]byte{current}, previous...) {
		if len(shared) == 0 {
			return nil, &Error{Op: "derive key", Kind: KindInvalid}
		}
		key, err := hkdf.Key(sha256.New, shared, nil, keyPurpose, sha256.Size)
		if err != nil {
			return nil, &Error{Op: "derive key", Kind: KindInvalid, Err: err}
		}
		r.keys = append(r.keys, key)
	}
	return r, nil
}

func (r *Keyring) sign(payload string) []byte {
	return tagOf(r.keys[0], payload)
}

func (r *Keyring) accepts(payload string, tag []byte) bool {
	for _, key := range r.keys {
		if hmac.Equal(tagOf(key, payload), tag) {
			return true
		}
	}
	return false
}

func tagOf(key []byte, payload string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(payload))
	return mac.Sum(nil)
}
