package commander_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"jackdawcart.org/jackdawctl/commander"
)

// platform is a fake key-value service.
type platform struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	// dropAnswers closes the connection after each write in place of an answer.
	dropAnswers bool
}

type entry struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, isKey := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	current, exists := p.entries[key]
	switch {
	case !isKey:
		all := []entry{}
		for _, e := range p.entries {
			if strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				all = append(all, e)
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"revision": p.revision, "entries": all})
	case r.Method == http.MethodPut:
		p.put(w, r, key, current)
	case !exists:
		writeJSON(w, http.StatusNotFound, map[string]string{"code": "not-found"})
	default:
		writeJSON(w, http.StatusOK, current)
	}
}

func (p *platform) put(w http.ResponseWriter, r *http.Request, key string, current entry) {
	var request struct {
		Value    string `json:"value"`
		Expected uint64 `json:"expected-revision"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, err.Error())
		return
	}
	if request.Expected != current.Revision {
		writeJSON(w, http.StatusConflict, current)
		return
	}
	p.revision++
	p.entries[key] = entry{Key: key, Value: request.Value, Revision: p.revision}
	if p.dropAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, p.entries[key])
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// session runs command lines against one fake platform.
type session struct {
	t        *testing.T
	platform *platform
	address  string
	in       string
}

func newSession(t *testing.T) *session {
	p := &platform{entries: make(map[string]entry)}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return &session{t: t, platform: p, address: server.Listener.Addr().String()}
}

// run fails the test unless the command exits with the code. It returns the output
// of both streams.
func (s *session) run(code int, args ...string) (out, errs string) {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	args = append([]string{"jackdawctl", "--platform", s.address, "--operator", "marta"}, args...)
	got := commander.Run(s.t.Context(), args, strings.NewReader(s.in), &stdout, &stderr)
	if got != code {
		s.t.Fatalf("%v: got code %d, want %d\n%s%s", args[5:], got, code, &stdout, &stderr)
	}
	return stdout.String(), stderr.String()
}

func (s *session) file(text string) string {
	s.t.Helper()
	path := filepath.Join(s.t.TempDir(), "document.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func document(deadline string) string {
	return fmt.Sprintf(`{
  // The registry of the field inspectors.
  "service": "agenda-01", "team": "agenda",
  "sets": [{"name": "old", "targets": [{"name": "a", "address": "127.0.0.1:8301",
    "failure-domain": "rosario", "slots": 2, "connections": 25, "connect-time": "6ms"}]}],
  "answering": {"lead": "old", "deadline": %q, "minimum-coverage": 1, "priority": "low", "hedge-budget": 0},
}`, deadline)
}

func wantText(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is not in:\n%s", part, text)
		}
	}
}

// A request must be explained from logs alone, which is all that on-call engineers
// have, and an unknown request ID must be reported as such.
func TestExplainFromLogs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.log")
	const log = `ts=2026-03-03T10:00:20.300Z level=warn msg="store lost" node=vm-1 op=watch
ts=2026-03-03T10:00:20.500Z level=info msg="request ended" node=vm-1 request=a verdict=partial troubles="s/i-1 first +0s 112ms open"`
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	code := commander.Run(t.Context(), []string{"jackdawctl", "explain", "--log", path + "," + path, "--request", "a"}, &bytes.Buffer{}, &out, &errs)
	if code != commander.ExitOK {
		t.Fatalf("exit code %d: %s", code, &errs)
	}
	for _, want := range []string{"request ended on vm-1", "verdict: partial", "store lost", "i-1: "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output does not contain %q:\n%s", want, &out)
		}
	}
	for args, want := range map[string]int{
		"--request b --log " + path: commander.ExitNotFound,
		"--request b":               commander.ExitUsage,
		"--request b --log missing": commander.ExitFailure,
	} {
		commandLine := append([]string{"jackdawctl", "explain"}, strings.Fields(args)...)
		if code := commander.Run(t.Context(), commandLine, &bytes.Buffer{}, &out, &errs); code != want {
			t.Errorf("explain %s: exit code %d, want %d", args, code, want)
		}
	}
}
