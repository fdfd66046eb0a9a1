// Package storer implements an in-memory key-value store with store-wide
// revisions, compare-and-swap, leases and watches.
package storer

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Entry is a key with its value. Deleted marks an entry that was deleted because
// its lease expired; such entries are returned by watches only.
type Entry struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Page is a consistent view of some entries.
type Page struct {
	// Revision is the store revision at which the page was read.
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// Lease bounds the lifetime of the entries attached to it: they are deleted when
// it expires.
type Lease struct {
	ID  string
	TTL time.Duration
}

type entry struct {
	Entry
	lease string
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is the key-value store. Callers pass the current time, so that tests of
// leases need not wait.
type Store struct {
	mu            sync.Mutex
	revision      uint64
	entries       map[string]entry
	leases        map[string]lease
	grantedLeases uint64
	// changed is closed and replaced on every write.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{entries: map[string]entry{}, leases: map[string]lease{}, changed: make(chan struct{})}
}

// Get returns the entry of a key.
func (s *Store) Get(now time.Time, key string) (Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(now)
	e, ok := s.entries[key]
	if !ok || e.Deleted {
		return Entry{}, &Error{Op: "get", Kind: KindNotFound}
	}
	return e.Entry, nil
}

// List returns the entries whose key has the prefix, sorted by key.
func (s *Store) List(now time.Time, prefix string) Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(now)
	return s.page(func(e Entry) bool { return !e.Deleted && strings.HasPrefix(e.Key, prefix) })
}

// Put writes an entry if its current revision equals the expected one; zero means
// that the key must not exist. On a mismatch it returns the current entry.
func (s *Store) Put(now time.Time, key, value string, expected uint64, leaseID string) (Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(now)
	if len(value) > MaxValueBytes {
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

// Watch returns the entries with the prefix that changed after the revision. It
// waits for a change, and returns an empty page when the context ends first.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) Page {
	for {
		page, changed := s.changesAfter(prefix, after)
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

func (s *Store) changesAfter(prefix string, after uint64) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := s.page(func(e Entry) bool { return e.Revision > after && strings.HasPrefix(e.Key, prefix) })
	return page, s.changed
}

// Grant creates a lease.
func (s *Store) Grant(now time.Time, ttl time.Duration) Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantedLeases++
	id := "lease-" + strconv.FormatUint(s.grantedLeases, 10)
	s.leases[id] = lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return Lease{ID: id, TTL: ttl}
}

// Renew extends a lease that has not expired.
func (s *Store) Renew(now time.Time, id string) (Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(now)
	l, ok := s.leases[id]
	if !ok {
		return Lease{}, &Error{Op: "renew", Kind: KindLeaseExpired}
	}
	l.expiresAt = now.Add(l.ttl)
	s.leases[id] = l
	return Lease{ID: id, TTL: l.ttl}, nil
}

// Expire removes the leases that have expired and deletes their entries. It has
// to be called regularly, so that watches observe the deletions.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(now)
}

func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		s.deleteLeaseEntries(id)
	}
}

// deleteLeaseEntries marks the entries of a lease as deleted.
func (s *Store) deleteLeaseEntries(id string) {
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

func (s *Store) page(matches func(Entry) bool) Page {
	page := Page{Revision: s.revision, Entries: []Entry{}}
	for _, e := range s.entries {
		if matches(e.Entry) {
			page.Entries = append(page.Entries, e.Entry)
		}
	}
	slices.SortFunc(page.Entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return page
}
