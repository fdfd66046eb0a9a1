package storer_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/platformstandin/storer"
)

func ExampleStore_Put() {
	s, now := storer.New(), time.Now()
	first, _ := s.Put(now, "services/agenda", "v1", 0, "")
	_, err := s.Put(now, "services/agenda", "v2", 0, "")
	second, _ := s.Put(now, "services/agenda", "v2", first.Revision, "")
	fmt.Println(first.Revision, err, second.Revision)
	// Output: 1 storer: put: revision-mismatch 2
}

// A failed compare-and-swap returns the current entry, so that a client can
// determine whether its own earlier write took effect.
func TestPutMismatchReturnsCurrent(t *testing.T) {
	s, now := storer.New(), time.Now()
	won, _ := s.Put(now, "k", "winner", 0, "")
	got, err := s.Put(now, "k", "loser", 7, "")
	if storer.KindOf(err) != storer.KindMismatch {
		t.Errorf("error is %v, want a revision mismatch", err)
	}
	if diff := cmp.Diff(won, got); diff != "" {
		t.Error(diff)
	}
	if _, err := s.Put(now, "big", strings.Repeat("x", storer.MaxValueBytes+1), 0, ""); storer.KindOf(err) != storer.KindTooLarge {
		t.Errorf("write of a value above the size limit: %v", err)
	}
}

// When a lease expires, its entries are deleted, watches return the deletions
// and the keys can be written again. Renewing the lease keeps the entries.
func TestLeaseExpiry(t *testing.T) {
	s, now := storer.New(), time.Now()
	l := s.Grant(now, 10*time.Second)
	held, _ := s.Put(now, "k", "v", 0, l.ID)
	if _, err := s.Renew(now.Add(9*time.Second), l.ID); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get(now.Add(18*time.Second), "k"); err != nil {
		t.Errorf("renewed lease expired: %v", err)
	}
	late := now.Add(20 * time.Second)
	if _, err := s.Get(late, "k"); storer.KindOf(err) != storer.KindNotFound {
		t.Errorf("get of an entry with an expired lease: %v", err)
	}
	if _, err := s.Renew(late, l.ID); storer.KindOf(err) != storer.KindLeaseExpired {
		t.Errorf("renewal of an expired lease: %v", err)
	}
	if _, err := s.Put(late, "x", "v", 0, l.ID); storer.KindOf(err) != storer.KindLeaseExpired {
		t.Errorf("write with an expired lease: %v", err)
	}
	got := s.Watch(t.Context(), "k", held.Revision)
	want := storer.Page{Revision: 2, Entries: []storer.Entry{{Key: "k", Revision: 2, Deleted: true}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if _, err := s.Put(late, "k", "again", 0, ""); err != nil {
		t.Errorf("write to a key whose lease expired: %v", err)
	}
}

// A watch returns changes made before the call, ignores other prefixes and ends
// with its context.
func TestWatch(t *testing.T) {
	s, now := storer.New(), time.Now()
	pages := make(chan storer.Page)
	go func() { pages <- s.Watch(context.Background(), "services/", 1) }()
	for _, key := range []string{"services/a", "other", "services/b"} {
		if _, err := s.Put(now, key, "v", 0, ""); err != nil {
			t.Fatal(err)
		}
	}
	if page := <-pages; len(page.Entries) != 1 || page.Entries[0].Key != "services/b" {
		t.Errorf("watch returned %+v", page)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if diff := cmp.Diff(storer.Page{Revision: 3, Entries: []storer.Entry{}}, s.Watch(ctx, "", 3)); diff != "" {
		t.Error(diff)
	}
}
