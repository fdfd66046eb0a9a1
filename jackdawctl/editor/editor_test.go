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

// fakeStore is a key-value store whose writes of documents can be disturbed.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]storer.Entry
	revision uint64
	calls    []string
	// disturb replaces the next write of a document.
	disturb func(key, value string, expected uint64) (storer.Entry, error)
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
	if disturb := s.disturb; disturb != nil && strings.HasPrefix(key, "services/") {
		s.disturb = nil
		return disturb(key, value, expected)
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

func text(deadline string) []byte {
	return fmt.Appendf(nil, `{"service": "agenda", "team": "t", "sets": [{"name": "old", "targets": [{"name": "a",
		"address": "127.0.0.1:8301", "failure-domain": "rosario", "slots": 2, "connections": 25, "connect-time": "6ms"}]}],
		"answering": {"lead": "old", "deadline": %q, "minimum-coverage": 1, "priority": "low", "hedge-budget": 0}}`, deadline)
}

func write(t *testing.T, s *fakeStore, operator, deadline string) (*editor.Stored, error) {
	t.Helper()
	e := editor.New(s, operator)
	seen, err := e.Read(t.Context(), "agenda")
	if err != nil {
		t.Fatal(err)
	}
	return e.Write(t.Context(), seen, text(deadline))
}

func mustWrite(t *testing.T, s *fakeStore, operator, deadline string) {
	t.Helper()
	if _, err := write(t, s, operator, deadline); err != nil {
		t.Fatal(err)
	}
}

var errLost = &storer.Error{Op: "put", Kind: storer.KindUnknown, Err: errors.New("answer lost")}

func documentWrites(s *fakeStore) int {
	return len(slices.DeleteFunc(slices.Clone(s.calls), func(call string) bool { return call != "put services/agenda" }))
}

// An edit must stay within the store calls that the package states, as the
// store serves all edits at once, and must not lose the replaced document.
func TestWriteKeepsHistory(t *testing.T) {
	s := newStore()
	mustWrite(t, s, "marta", "100ms")
	s.calls = nil
	mustWrite(t, s, "luis", "200ms")
	want := []string{"get services/agenda", "get history/agenda", "put history/agenda", "put services/agenda"}
	if diff := cmp.Diff(want, s.calls); diff != "" {
		t.Error(diff)
	}
	history, err := editor.New(s, "marta").History(t.Context(), "agenda")
	if err != nil || len(history) != 1 || !strings.HasPrefix(history[0].Edit, "marta/") {
		t.Fatalf("got history %v, error %v", history, err)
	}
	if at, ok := history[0].At(); !ok || time.Since(at) > time.Minute {
		t.Errorf("got edit time %v", at)
	}
}

// The history must stay within one value of the store.
func TestHistoryIsBounded(t *testing.T) {
	s := newStore()
	for i := range 25 {
		mustWrite(t, s, "marta", fmt.Sprintf("%dms", 100+i))
	}
	history, err := editor.New(s, "marta").History(t.Context(), "agenda")
	if err != nil || len(history) != 20 || !strings.Contains(history[19].Text, "123ms") {
		t.Errorf("got %d entries, error %v", len(history), err)
	}
	long := &editor.Stored{Service: "agenda", Revision: 1, Text: strings.Repeat(`"`, parser.MaxBytes)}
	s = newStore()
	s.entries["services/agenda"] = storer.Entry{Value: long.Text, Revision: 1}
	mustWrite(t, s, "marta", "100ms")
	if size := len(s.entries["history/agenda"].Value); size > parser.MaxBytes {
		t.Errorf("history has %d bytes", size)
	}
}

// A lost answer must be resolved by reading back, whether the write took
// effect before the answer was lost, arrived late, was replaced since, or lost
// a race; and the write must never be sent twice.
func TestLostAnswer(t *testing.T) {
	type fault func(s *fakeStore, key, value string, expected uint64)
	replace := func(s *fakeStore) {
		e := editor.New(s, "luis")
		seen, _ := e.Read(context.Background(), "agenda")
		_, _ = e.Write(context.Background(), seen, text("900ms"))
	}
	cases := map[string]struct {
		fault   fault
		written bool
		kind    any
		// writes counts those of the other operator too.
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
				mustWrite(t, s, "marta", "100ms")
				s.calls = nil
				s.disturb = func(key, value string, expected uint64) (storer.Entry, error) {
					c.fault(s, key, value, expected)
					return storer.Entry{}, errLost
				}
				stored, err := write(t, s, "marta", "200ms")
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
				if writes := documentWrites(s); writes != c.writes {
					t.Errorf("got %d writes of the document, want %d", writes, c.writes)
				}
			})
		})
	}
}

// The loser of a race must learn what changed, and its document must not
// replace that of the winner.
func TestRace(t *testing.T) {
	s := newStore()
	mustWrite(t, s, "marta", "100ms")
	e := editor.New(s, "marta")
	seen, err := e.Read(t.Context(), "agenda")
	if err != nil {
		t.Fatal(err)
	}
	mustWrite(t, s, "luis", "200ms")
	_, err = e.Write(t.Context(), seen, text("300ms"))
	var conflict *editor.Conflict
	if !errors.As(err, &conflict) {
		t.Fatalf("got error %v", err)
	}
	want := parser.Changes{{Field: "answering.deadline", Old: "100ms", New: "200ms"}}
	if diff := cmp.Diff(want, conflict.Changes); diff != "" {
		t.Error(diff)
	}
	if !strings.Contains(s.entries["services/agenda"].Value, "200ms") {
		t.Error("the winner's document was replaced")
	}
}
