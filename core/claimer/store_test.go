package claimer_test

import (
	"context"
	"errors"

	"jackdawcart.org/core/claimer"
)

// Fates of a call to the fake store.
const (
	answered     = "answered"
	unreachable  = "unreachable"
	lostWritten  = "lost after the write"
	lostUnsent   = "lost before the write"
	lostDelayed  = "lost, written later"
	sentTwice    = "sent twice"
	unknownError = "unknown error after the write"
)

type write struct {
	key      string
	value    []byte
	expected uint64
}

// fakeStore is a store with compare-and-swap whose calls fail as told by fate.
type fakeStore struct {
	entries  map[string]claimer.Entry
	revision uint64
	delayed  []write
	fate     func(call string) string
	calls    []string
}

func newFakeStore(fates ...string) *fakeStore {
	s := &fakeStore{entries: map[string]claimer.Entry{}}
	s.fate = func(string) string {
		fates = append(fates, answered)
		first := fates[0]
		fates = fates[1:]
		return first
	}
	return s
}

func (s *fakeStore) Get(_ context.Context, key string) (claimer.Entry, error) {
	s.calls = append(s.calls, "get")
	entry := s.entries[key]
	if s.fate("get") != answered {
		return claimer.Entry{}, claimer.ErrUnreachable
	}
	return entry, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expected uint64) (uint64, error) {
	s.calls = append(s.calls, "put")
	w := write{key, value, expected}
	switch s.fate("put") {
	case unreachable:
		return 0, claimer.ErrUnreachable
	case lostUnsent:
		return 0, claimer.ErrAnswerLost
	case lostDelayed:
		s.delayed = append(s.delayed, w)
		return 0, claimer.ErrAnswerLost
	case lostWritten:
		s.apply(w)
		return 0, claimer.ErrAnswerLost
	case unknownError:
		s.apply(w)
		return 0, errors.New("connection reset")
	case sentTwice:
		s.apply(w)
	}
	if !s.apply(w) {
		return 0, claimer.ErrConflict
	}
	return s.revision, nil
}

func (s *fakeStore) apply(w write) bool {
	if s.entries[w.key].Revision != w.expected {
		return false
	}
	s.revision++
	s.entries[w.key] = claimer.Entry{Value: w.value, Revision: s.revision}
	return true
}

func (s *fakeStore) deliver() {
	for _, w := range s.delayed {
		s.apply(w)
	}
	s.delayed = nil
}
