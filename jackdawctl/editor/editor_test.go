package editor_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/jackdawctl/editor"
	"jackdawcart.org/jackdawctl/storer"
)

// fakeStore is an in-memory key-value store that can replace a document write by a
// fault.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]storer.Entry
	revision uint64
	calls    []string
	// interceptWrite handles the next write of a document in place of put.
	interceptWrite func(key, value string, expected uint64) (storer.Entry, error)
}

func newStore() *fakeStore { return &fakeStore{entries: make(map[string]storer.Entry)} }

func (s *fakeStore) Get(_ context.Context, key string) (storer.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, "get "+key)
	entry := s.entries[key]
	entry.Key = key
	return entry, nil
}

func (s *fakeStore) List(context.Context, string) ([]storer.Entry, error) { return nil, nil }

func (s *fakeStore) Put(_ context.Context, key, value string, expected uint64) (storer.Entry, error) {
	s.calls = append(s.calls, "put "+key)
	if interceptWrite := s.interceptWrite; interceptWrite != nil && strings.HasPrefix(key, "services/") {
		s.interceptWrite = nil
		return interceptWrite(key, value, expected)
	}
	return s.put(key, value, expected)
}

func (s *fakeStore) put(key, value string, expected uint64) (storer.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[key]
	if current.Revision != expected {
		return storer.Entry{}, &storer.Error{Op: "put", Kind: storer.KindConflict, Current: current, Err: errors.New("conflict")}
	}
	s.revision++
	s.entries[key] = storer.Entry{Key: key, Value: value, Revision: s.revision}
	return s.entries[key], nil
}

func documentText(deadline string) []byte {
	return fmt.Appendf(nil, `{"service": "agenda", "team": "t", "sets": [{"name": "old", "targets": [{"name": "a",
		"address": "127.0.0.1:8301", "failure-domain": "rosario", "slots": 2, "connections": 25, "connect-time": "6ms"}]}],
		"answering": {"lead": "old", "deadline": %q, "minimum-coverage": 1, "priority": "low", "hedge-budget": 0}}`, deadline)
}

func writeDocument(t *testing.T, s *fakeStore, operator, deadline string) (*editor.StoredDocument, error) {
	t.Helper()
	e := editor.New(s, operator)
	base, err := e.Read(t.Context(), "agenda")
	if err != nil {
		t.Fatal(err)
	}
	return e.Write(t.Context(), base, documentText(deadline))
}

func mustWriteDocument(t *testing.T, s *fakeStore, operator, deadline string) {
	t.Helper()
	if _, err := writeDocument(t, s, operator, deadline); err != nil {
		t.Fatal(err)
	}
}

var errAnswerLost = &storer.Error{Op: "put", Kind: storer.KindUnknown, Err: errors.New("answer lost")}

func countDocumentWrites(s *fakeStore) int {
	return len(slices.DeleteFunc(slices.Clone(s.calls), func(call string) bool { return call != "put services/agenda" }))
}

// An edit must make only the store calls that the package comment lists, as all
// operators share the store, and must add the replaced document to the history.
func TestWriteKeepsHistory(t *testing.T) {
	s := newStore()
	mustWriteDocument(t, s, "marta", "100ms")
	s.calls = nil
	mustWriteDocument(t, s, "luis", "200ms")
	want := []string{"get services/agenda", "get history/agenda", "put history/agenda", "put services/agenda"}
	if diff := cmp.Diff(want, s.calls); diff != "" {
		t.Error(diff)
	}
	history, err := editor.New(s, "marta").History(t.Context(), "agenda")
	if err != nil || len(history) != 1 || !strings.HasPrefix(history[0].Edit, "marta/") {
		t.Fatalf("got history %v, error %v", history, err)
	}
	if at, ok := history[0].WrittenAt(); !ok || time.Since(at) > time.Minute {
		t.Errorf("got edit time %v", at)
	}
}

// The history must not exceed the entry limit or the size limit of a store value.
func TestHistoryIsBounded(t *testing.T) {
	s := newStore()
	for i := range 25 {
		mustWriteDocument(t, s, "marta", fmt.Sprintf("%dms", 100+i))
	}
	history, err := editor.New(s, "marta").History(t.Context(), "agenda")
	if err != nil || len(history) != 20 || !strings.Contains(history[19].Text, "123ms") {
		t.Errorf("got %d entries, error %v", len(history), err)
	}
	long := &editor.StoredDocument{Service: "agenda", Revision: 1, Text: strings.Repeat(`"`, parser.MaxBytes)}
	s = newStore()
	s.entries["services/agenda"] = storer.Entry{Value: long.Text, Revision: 1}
	mustWriteDocument(t, s, "marta", "100ms")
	if size := len(s.entries["history/agenda"].Value); size > parser.MaxBytes {
		t.Errorf("history has %d bytes", size)
	}
}

// A lost answer must be resolved by reading back, whether the write took effect,
// arrived late, was replaced by another edit, conflicted with one, or never
// arrived. The write must never be sent twice.
func TestLostAnswer(t *testing.T) {
	type fault func(s *fakeStore, key, value string, expected uint64)
	replace := func(s *fakeStore) {
		e := editor.New(s, "luis")
		base, _ := e.Read(context.Background(), "agenda")
		_, _ = e.Write(context.Background(), base, documentText("900ms"))
	}
	cases := map[string]struct {
		fault   fault
		written bool
		kind    any
		// writes counts the document writes of both operators.
		writes int
	}{
		"took effect": {
			fault:   func(s *fakeStore, key, value string, expected uint64) { _, _ = s.put(key, value, expected) },
			written: true,
			writes:  1,
		},
		"arrived late": {
			fault: func(s *fakeStore, key, value string, expected uint64) {
				time.AfterFunc(time.Second, func() { _, _ = s.put(key, value, expected) })
			},
			written: true,
			writes:  1,
		},
		"replaced since": {
			fault: func(s *fakeStore, key, value string, expected uint64) {
				_, _ = s.put(key, value, expected)
				replace(s)
			},
			written: true,
			writes:  2,
		},
		"lost a race": {
			fault:  func(s *fakeStore, _, _ string, _ uint64) { replace(s) },
			kind:   new(*editor.Conflict),
			writes: 2,
		},
		"never arrived": {
			fault:  func(*fakeStore, string, string, uint64) {},
			kind:   new(*editor.Error),
			writes: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				mustWriteDocument(t, s, "marta", "100ms")
				s.calls = nil
				s.interceptWrite = func(key, value string, expected uint64) (storer.Entry, error) {
					c.fault(s, key, value, expected)
					return storer.Entry{}, errAnswerLost
				}
				stored, err := writeDocument(t, s, "marta", "200ms")
				if c.written && (err != nil || !strings.Contains(stored.Text, "200ms")) {
					t.Errorf("got %v, error %v", stored, err)
				}
				if !c.written && !errors.As(err, c.kind) {
					t.Errorf("got error %v", err)
				}
				var failure *editor.Error
				if errors.As(err, &failure) && failure.Kind != editor.KindUnknown {
					t.Errorf("got kind %s", failure.Kind)
				}
				if writes := countDocumentWrites(s); writes != c.writes {
					t.Errorf("got %d writes of the document, want %d", writes, c.writes)
				}
			})
		})
	}
}

// An edit of a replaced revision must fail with a conflict that holds the changes,
// and must not overwrite the newer document.
func TestRace(t *testing.T) {
	s := newStore()
	mustWriteDocument(t, s, "marta", "100ms")
	e := editor.New(s, "marta")
	base, err := e.Read(t.Context(), "agenda")
	if err != nil {
		t.Fatal(err)
	}
	mustWriteDocument(t, s, "luis", "200ms")
	_, err = e.Write(t.Context(), base, documentText("300ms"))
	var conflict *editor.Conflict
	if !errors.As(err, &conflict) {
		t.Fatalf("got error %v", err)
	}
	want := parser.Changes{{Field: "answering.deadline", Old: "100ms", New: "200ms"}}
	if diff := cmp.Diff(want, conflict.Changes); diff != "" {
		t.Error(diff)
	}
	if !strings.Contains(s.entries["services/agenda"].Value, "200ms") {
		t.Error("the newer document was overwritten")
	}
}
