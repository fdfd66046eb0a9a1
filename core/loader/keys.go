package loader

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// minKeyLength is the minimum length of a key in bytes. Shorter keys could be
// guessed.
const minKeyLength = 16

// Key is a shared key. It is formatted as a placeholder, so that it cannot leak
// into logs.
type Key []byte

// Format implements fmt.Formatter and writes a placeholder for every verb.
func (Key) Format(state fmt.State, _ rune) { fmt.Fprint(state, "[redacted]") }

// MarshalText implements encoding.TextMarshaler and returns a placeholder.
func (Key) MarshalText() ([]byte, error) { return []byte("[redacted]"), nil }

// KeySource provides the shared keys of a key file. It reloads the file when its
// modification time or size changes.
type KeySource struct {
	path string

	mu       sync.Mutex
	keys     []Key
	modified time.Time
	size     int64
}

// NewKeySource loads a key file, which must contain at least one key.
func NewKeySource(path string) (*KeySource, error) {
	s := &KeySource{path: path}
	if _, err := s.Keys(); err != nil {
		return nil, err
	}
	return s, nil
}

// Keys returns the shared keys. The first one is the current key. If the file can
// no longer be loaded, it returns the previous keys and the error.
func (s *KeySource) Keys() ([]Key, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.path)
	if err != nil {
		return s.keys, &Error{Op: "keys", Kind: KindUnreadable, Err: err}
	}
	if s.keys != nil && info.ModTime().Equal(s.modified) && info.Size() == s.size {
		return s.keys, nil
	}
	text, err := readFile(s.path)
	if err != nil {
		return s.keys, &Error{Op: "keys", Kind: KindUnreadable, Err: err}
	}
	keys, err := parseKeys(text)
	if err != nil {
		err = fmt.Errorf("%s: %w", s.path, err)
		return s.keys, &Error{Op: "keys", Kind: KindInvalid, Err: err}
	}
	s.keys, s.modified, s.size = keys, info.ModTime(), info.Size()
	return s.keys, nil
}

// parseKeys parses one key per line. It skips empty lines and lines that start
// with "#".
func parseKeys(text []byte) ([]Key, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("key file is longer than %d bytes", maxFileBytes)
	}
	var keys []Key
	for i, line := range bytes.Split(text, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		if len(line) < minKeyLength {
			return nil, fmt.Errorf("line %d: key is shorter than %d bytes", i+1, minKeyLength)
		}
		keys = append(keys, bytes.Clone(line))
	}
	if len(keys) == 0 {
		return nil, errors.New("key file contains no key")
	}
	return keys, nil
}

// SharedKeys returns the keys as plain bytes, for code that derives identities and
// authentication tags from them.
func (s *KeySource) SharedKeys() [][]byte {
	// The previous keys stay in use if the file can no longer be loaded.
	keys, _ := s.Keys()
	shared := make([][]byte, len(keys))
	for i, key := range keys {
		shared[i] = key
	}
	return shared
}
