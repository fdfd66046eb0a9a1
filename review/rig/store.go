package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyLength is historyS of the settings.
const historyLength = 20 * time.Second

// Limits of one page of kv-range.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// item is a key with its value, or the deletion of a key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's store.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	compacted uint64
	leases    map[uint64]lease
	lastLease uint64
	changed   chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{})}
}

// put writes a value as the operator or a back end does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// remove deletes a key as the operator or a back end does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

// get returns the value of a key.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: lease, at: time.Now()}
	s.items[key] = i
	s.record(i)
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true, at: time.Now()})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyLength {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

// handler serves the store to the machines.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, i)
	})
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transact)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end(number(r.PathValue("id")))
		answer(w, struct{}{})
	})
	return mux
}

func number(text string) uint64 {
	// Invalid text gives 0, which is no lease and no revision of a key.
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may have left.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("pathPrefix"), query.Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, size := []item{}, 0
	for _, key := range keys {
		i := s.items[key]
		if len(page) == maxPageItems || len(page) > 0 && size+len(i.Value) > maxPageBytes {
			break
		}
		page, size = append(page, i), size+len(i.Value)
	}
	answer(w, map[string]any{"items": page, "hasMore": len(page) < len(keys), "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, prefix := number(query.Get("after")), query.Get("pathPrefix")
	timeout := time.After(time.Duration(number(query.Get("waitMs"))) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expireLeases()
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, size := []item{}, 0
		at, changed := s.revision, s.changed
		for _, i := range s.history {
			if i.Revision <= after || !strings.HasPrefix(i.Key, prefix) {
				continue
			}
			// The pages set no limit here; the one of kv-range is kept.
			if len(events) == maxPageItems || len(events) > 0 && size+len(i.Value) > maxPageBytes {
				at = events[len(events)-1].Revision
				break
			}
			events, size = append(events, i), size+len(i.Value)
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expectedRevision"`
		Puts     []item   `json:"putItems"`
		Removes  []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, expected := range body.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range body.Puts {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range body.Puts {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, key := range body.Removes {
		s.delete(key)
	}
	answer(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTLMs < 1000 || body.TTLMs > 600_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	answer(w, map[string]any{"lease": s.lastLease, "ttlMs": body.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id := number(r.PathValue("id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}
