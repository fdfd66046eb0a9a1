package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jackdawcart.org/core/checker"
)

const maxBody = 1 << 20

// identity is a sub-request number as the client wrote it: a JSON string or
// number, which is echoed unchanged.
type identity = json.RawMessage

type searchRequest struct {
	QueryID  string   `json:"query-id"`
	SubID    identity `json:"sub-id"`
	Shard    string   `json:"shard"`
	Snapshot string   `json:"snapshot"`
	Text     string   `json:"text"`
	Limit    int      `json:"limit"`
}

type searchAnswer struct {
	QueryID  string        `json:"query-id"`
	SubID    identity      `json:"sub-id"`
	Shard    string        `json:"shard"`
	Snapshot string        `json:"snapshot"`
	Hits     []checker.Hit `json:"hits"`
}

type executeRequest struct {
	RequestID string `json:"request-id"`
	Operation string `json:"operation"`
	Payload   string `json:"payload"`
}

type executeAnswer struct {
	RequestID string `json:"request-id"`
	Result    string `json:"result"`
}

type cancelRequest struct {
	QueryID string   `json:"query-id"`
	SubID   identity `json:"sub-id"`
}

type cancelAnswer struct {
	Cancelled bool `json:"cancelled"`
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", t.search)
	mux.HandleFunc("POST /v1/execute", t.executeOnce)
	mux.HandleFunc("POST /v1/cancel", t.cancel)
	mux.HandleFunc("GET /v1/status", t.status)
	return mux
}

func (t *Target) search(rw http.ResponseWriter, r *http.Request) {
	var request searchRequest
	deadline, ok := readRequest(rw, r, &request)
	if !ok {
		return
	}
	run := t.newRun(checker.RunSearch, request.Text)
	run.QueryID, run.SubID = request.QueryID, plain(request.SubID)
	run.Shard, run.Snapshot = request.Shard, request.Snapshot
	w := newWork(run, deadline)
	w.key = workKey{run.QueryID, run.SubID}
	if refused := t.do(r.Context(), w); refused != nil {
		writeRefusal(rw, refused)
		return
	}
	t.answer(rw, r, t.cross(&searchAnswer{
		QueryID: request.QueryID, SubID: request.SubID, Shard: request.Shard, Snapshot: request.Snapshot,
		Hits: checker.Search(request.Shard, request.Snapshot, request.Text, request.Limit),
	}))
}

func (t *Target) executeOnce(rw http.ResponseWriter, r *http.Request) {
	var request executeRequest
	deadline, ok := readRequest(rw, r, &request)
	if !ok {
		return
	}
	run := t.newRun(checker.RunExecute, request.Payload)
	run.RequestID = request.RequestID
	w := newWork(run, deadline)
	// Executions cannot be cancelled; the key only has to be unique.
	w.key = workKey{queryID: fmt.Sprintf("execute-%p", w)}
	if refused := t.do(r.Context(), w); refused != nil {
		writeRefusal(rw, refused)
		return
	}
	result := checker.Execute(request.Operation, request.Payload)
	t.answer(rw, r, executeAnswer{RequestID: request.RequestID, Result: result})
}

func (t *Target) cancel(rw http.ResponseWriter, r *http.Request) {
	var request cancelRequest
	if _, ok := readRequest(rw, r, &request); !ok {
		return
	}
	t.mu.Lock()
	w, ok := t.works[workKey{request.QueryID, plain(request.SubID)}]
	t.mu.Unlock()
	if ok {
		w.cancel()
	}
	writeJSON(rw, http.StatusOK, encode(cancelAnswer{Cancelled: ok}))
}

func (t *Target) newRun(kind checker.RunKind, text string) checker.Run {
	return checker.Run{
		Target: t.description.Name, Service: t.description.Service, Set: t.description.Set,
		Kind: kind, Text: text,
	}
}

// cross swaps the answer with the previous one when the fault strikes.
func (t *Target) cross(own *searchAnswer) *searchAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	other := t.previous
	t.previous = own
	if !t.strikes(FaultCrossedAnswer) {
		return own
	}
	if other != nil && other.QueryID != own.QueryID {
		return other
	}
	crossed := *own
	crossed.QueryID = "crossed-" + own.QueryID
	return &crossed
}

// answer sends the body late or twice when these faults strike.
func (t *Target) answer(rw http.ResponseWriter, r *http.Request, value any) {
	t.mu.Lock()
	late, delay := t.strikes(FaultLateAnswer), t.delay(FaultLateAnswer)
	twice := t.strikes(FaultDuplicateAnswer)
	t.mu.Unlock()
	if late {
		time.Sleep(delay)
	}
	body := encode(value)
	writeJSON(rw, http.StatusOK, body)
	if c := connOf(r.Context()); twice && c != nil {
		_ = http.NewResponseController(rw).Flush()
		_, _ = c.Write(rawAnswer(body))
	}
}

// rawAnswer is a whole HTTP answer, for sending one that nobody asked for.
func rawAnswer(body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	return append([]byte(head), body...)
}

// readRequest decodes the body and the time left in the Deadline header.
func readRequest(rw http.ResponseWriter, r *http.Request, into any) (time.Time, bool) {
	received := time.Now()
	decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBody))
	if err := decoder.Decode(into); err != nil {
		writeRefusal(rw, &refusal{http.StatusBadRequest, "malformed", err.Error()})
		return time.Time{}, false
	}
	header := r.Header.Get("Deadline")
	if header == "" {
		return time.Time{}, true
	}
	left, err := time.ParseDuration(header)
	if err != nil {
		writeRefusal(rw, &refusal{http.StatusBadRequest, "malformed", err.Error()})
		return time.Time{}, false
	}
	return received.Add(left), true
}

func writeRefusal(rw http.ResponseWriter, r *refusal) {
	if r == refuseCrashed {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, r.Status, encode(r))
}

func writeJSON(rw http.ResponseWriter, status int, body []byte) {
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}

// encode cannot fail: the types of this package have no value that JSON lacks.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

// plain returns a sub-request number without the quotes of a JSON string.
func plain(id identity) string {
	var text string
	if json.Unmarshal(id, &text) == nil {
		return text
	}
	return string(id)
}
