package loader_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/loader"
)

const (
	firstKey  = "first-shared-key-of-the-test"
	secondKey = "second-shared-key-of-the-test"
)

func writeKeys(t *testing.T, path, text string, modified time.Time) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, modified, modified); err != nil {
		t.Fatal(err)
	}
}

// Guards against a key change that needs a restart, and against an invalid key
// file that discards the keys in use.
func TestKeysReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shared.keys")
	start := time.Now()
	writeKeys(t, path, "# keys\n"+firstKey+"\n", start)
	source, err := loader.NewKeySource(path)
	if err != nil {
		t.Fatal(err)
	}
	writeKeys(t, path, secondKey+"\n"+firstKey+"\n", start.Add(time.Second))
	want := []loader.Key{[]byte(secondKey), []byte(firstKey)}
	got, err := source.Keys()
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Fatal(err, diff)
	}
	writeKeys(t, path, "short", start.Add(2*time.Second))
	got, err = source.Keys()
	if diff := cmp.Diff(want, got); diff != "" || err == nil {
		t.Fatal(err, diff)
	}
	if strings.Contains(err.Error(), "short\"") || strings.Contains(err.Error(), firstKey) {
		t.Fatalf("error shows a key: %v", err)
	}
}

// Guards against a key that leaks into logs through a format verb or JSON.
func TestKeyIsRedacted(t *testing.T) {
	key := loader.Key(firstKey)
	asJSON, err := json.Marshal(map[string]any{"key": key})
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{fmt.Sprintf("%s %v %x %+q %#v", key, key, key, key, key), string(asJSON)} {
		if strings.Contains(text, firstKey) || strings.Contains(text, fmt.Sprintf("%x", firstKey)) {
			t.Errorf("key is shown: %s", text)
		}
	}
}
