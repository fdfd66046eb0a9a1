package loader

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// minKeyLength refuses keys that can be guessed.
const minKeyLength = 16

// Key is a shared key. It prints as a placeholder in every format, so that it
// cannot reach a log.
type Key []byte

// Format writes a placeholder for every verb.
func (Key) Format(state fmt.State, _ rune) { fmt.Fprint(state, "[redacted]") }

// MarshalText returns a placeholder.
func (Key) MarshalText() ([]byte, error) { return []byte("[redacted]"), nil }

// KeySource gives the shared keys of a key file and reads the file again when
// its modification time or size changes.
type KeySource struct {
	path string

	mu       sync.Mutex
	keys     []Key
	modified time.Time
	size     int64
}

// NewKeySource returns the source of a key file, which must hold a key.
func NewKeySource(path string) (*KeySource, error) {
	s := &KeySource{path: path}
	if _, err := s.Keys(); err != nil {
		return nil, err
	}
	return s, nil
}

// Keys returns the shared keys, of which the first is the current one. When
// the file cannot be read any more, it returns the former keys and the error.
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

// parseKeys reads one key a line and skips empty lines and lines that start
// with "#".
func parseKeys(text []byte) ([]Key, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("longer than %d bytes", maxFileBytes)
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
		return nil, errors.New("no key")
	}
	return keys, nil
}

// SharedKeys returns the keys as plain bytes, for the code that derives
// identities and tags from them.
func (s *KeySource) SharedKeys() [][]byte {
	// When the file cannot be read any more, the former keys stay in use.
	keys, _ := s.Keys()
	shared := make([][]byte, len(keys))
	for i, key := range keys {
		shared[i] = key
	}
	return shared
}
