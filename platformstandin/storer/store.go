// Package storer is a key-value store in memory with revisions over the whole
// store, compare-and-swap, leases and watches.
package storer

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MaxValue is the size limit of a value in bytes.
const MaxValue = 1 << 20

// Entry is one key with its value. Deleted marks the end of an entry whose
// lease expired; it appears in watches only.
type Entry struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Page is a consistent view of entries.
type Page struct {
	// Revision is that of the whole store when the page was read.
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// Lease keeps entries alive until it expires.
type Lease struct {
	ID  string
	TTL time.Duration
}

type entry struct {
	Entry
	lease string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the key-value store. The caller passes the time, so that leases
// can be tested without waiting.
type Store struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	leases   map[string]lease
	granted  uint64
	changed  chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{entries: map[string]entry{}, leases: map[string]lease{}, changed: make(chan struct{})}
}

// Get returns one entry.
func (s *Store) Get(now time.Time, key string) (Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e, ok := s.entries[key]
	if !ok || e.Deleted {
		return Entry{}, &Error{Op: "get", Kind: KindNotFound}
	}
	return e.Entry, nil
}

// List returns the entries whose key has the prefix, in order of their keys.
func (s *Store) List(now time.Time, prefix string) Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return s.page(func(e Entry) bool { return !e.Deleted && strings.HasPrefix(e.Key, prefix) })
}

// Put writes an entry if its revision is the expected one; zero means that the
// key must not exist. On a mismatch it returns the current entry.
func (s *Store) Put(now time.Time, key, value string, expected uint64, leaseID string) (Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if len(value) > MaxValue {
		return Entry{}, &Error{Op: "put", Kind: KindTooLarge}
	}
	if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
		return Entry{}, &Error{Op: "put", Kind: KindLeaseExpired}
	}
	current, ok := s.entries[key]
	if !ok || current.Deleted {
		current = entry{Entry: Entry{Key: key}}
	}
	if current.Revision != expected {
		return current.Entry, &Error{Op: "put", Kind: KindMismatch}
	}
	return s.write(entry{Entry: Entry{Key: key, Value: value}, lease: leaseID}), nil
}

// Watch returns the entries of the prefix that changed after a revision. It
// waits for a change until the context ends and then returns an empty page.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) Page {
	for {
		page, changed := s.changes(prefix, after)
		if len(page.Entries) > 0 {
			return page
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return page
		}
	}
}

func (s *Store) changes(prefix string, after uint64) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := s.page(func(e Entry) bool { return e.Revision > after && strings.HasPrefix(e.Key, prefix) })
	return page, s.changed
}

// Grant returns a new lease.
func (s *Store) Grant(now time.Time, ttl time.Duration) Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	id := "lease-" + strconv.FormatUint(s.granted, 10)
	s.leases[id] = lease{ttl: ttl, expires: now.Add(ttl)}
	return Lease{ID: id, TTL: ttl}
}

// Renew extends a lease that has not expired.
func (s *Store) Renew(now time.Time, id string) (Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	l, ok := s.leases[id]
	if !ok {
		return Lease{}, &Error{Op: "renew", Kind: KindLeaseExpired}
	}
	l.expires = now.Add(l.ttl)
	s.leases[id] = l
	return Lease{ID: id, TTL: l.ttl}, nil
}

// Expire ends the leases that are over at the given time. The process calls
// it regularly, so that watches see the end of entries.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
}

func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		s.end(id)
	}
}

// end deletes the entries of a lease.
func (s *Store) end(id string) {
	for _, e := range s.entries {
		if e.lease == id && !e.Deleted {
			s.write(entry{Entry: Entry{Key: e.Key, Deleted: true}})
		}
	}
}

func (s *Store) write(e entry) Entry {
	s.revision++
	e.Revision = s.revision
	s.entries[e.Key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return e.Entry
}

func (s *Store) page(wanted func(Entry) bool) Page {
	page := Page{Revision: s.revision, Entries: []Entry{}}
	for _, e := range s.entries {
		if wanted(e.Entry) {
			page.Entries = append(page.Entries, e.Entry)
		}
	}
	slices.SortFunc(page.Entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return page
}
