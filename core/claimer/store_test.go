package claimer_test

import (
	"context"
	"errors"

	"jackdawcart.org/core/claimer"
)

// Results of a call to the fake store.
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
	key              string
	value            []byte
	expectedRevision uint64
}

// fakeStore is a store with compare-and-swap. nextResult selects the result of
// each call.
type fakeStore struct {
	entries    map[string]claimer.Entry
	revision   uint64
	delayed    []write
	nextResult func(call string) string
	calls      []string
}

func newFakeStore(results ...string) *fakeStore {
	s := &fakeStore{entries: map[string]claimer.Entry{}}
	s.nextResult = func(string) string {
		results = append(results, answered)
		next := results[0]
		results = results[1:]
		return next
	}
	return s
}

func (s *fakeStore) Get(_ context.Context, key string) (claimer.Entry, error) {
	s.calls = append(s.calls, "get")
	entry := s.entries[key]
	if s.nextResult("get") != answered {
		return claimer.Entry{}, claimer.ErrUnreachable
	}
	return entry, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expectedRevision uint64) (uint64, error) {
	s.calls = append(s.calls, "put")
	w := write{key, value, expectedRevision}
	switch s.nextResult("put") {
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
	if s.entries[w.key].Revision != w.expectedRevision {
		return false
	}
	s.revision++
	s.entries[w.key] = claimer.Entry{Value: w.value, Revision: s.revision}
	return true
}

func (s *fakeStore) applyDelayed() {
	for _, w := range s.delayed {
		s.apply(w)
	}
	s.delayed = nil
}
