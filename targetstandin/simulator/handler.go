package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jackdawcart.org/core/checker"
)

const maxBodyBytes = 1 << 20

// rawSubID is a sub-request ID as the client sent it, a JSON string or number.
// It is echoed unchanged.
type rawSubID = json.RawMessage

type searchRequest struct {
	QueryID  string   `json:"query-id"`
	SubID    rawSubID `json:"sub-id"`
	Shard    string   `json:"shard"`
	Snapshot string   `json:"snapshot"`
	Text     string   `json:"text"`
	Limit    int      `json:"limit"`
}

type searchAnswer struct {
	QueryID  string        `json:"query-id"`
	SubID    rawSubID      `json:"sub-id"`
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
	SubID   rawSubID `json:"sub-id"`
}

type cancelAnswer struct {
	Cancelled bool `json:"cancelled"`
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", t.handleSearch)
	mux.HandleFunc("POST /v1/execute", t.handleExecute)
	mux.HandleFunc("POST /v1/cancel", t.handleCancel)
	mux.HandleFunc("GET /v1/status", t.handleStatus)
	return mux
}

func (t *Target) handleSearch(rw http.ResponseWriter, r *http.Request) {
	var request searchRequest
	deadline, ok := readRequest(rw, r, &request)
	if !ok {
		return
	}
	run := t.newRun(checker.RunSearch, request.Text)
	run.QueryID, run.SubID = request.QueryID, unquoteSubID(request.SubID)
	run.Shard, run.Snapshot = request.Shard, request.Snapshot
	w := newWork(run, deadline)
	w.key = workKey{run.QueryID, run.SubID}
	if refused := t.process(r.Context(), w); refused != nil {
		writeRefusal(rw, refused)
		return
	}
	t.sendAnswer(rw, r, t.applyCrossedAnswer(&searchAnswer{
		QueryID: request.QueryID, SubID: request.SubID, Shard: request.Shard, Snapshot: request.Snapshot,
		Hits: checker.Search(request.Shard, request.Snapshot, request.Text, request.Limit),
	}))
}

func (t *Target) handleExecute(rw http.ResponseWriter, r *http.Request) {
	var request executeRequest
	deadline, ok := readRequest(rw, r, &request)
	if !ok {
		return
	}
	run := t.newRun(checker.RunExecute, request.Payload)
	run.RequestID = request.RequestID
	w := newWork(run, deadline)
	// Executions cannot be cancelled, so the key only has to be unique.
	w.key = workKey{queryID: fmt.Sprintf("execute-%p", w)}
	if refused := t.process(r.Context(), w); refused != nil {
		writeRefusal(rw, refused)
		return
	}
	result := checker.Execute(request.Operation, request.Payload)
	t.sendAnswer(rw, r, executeAnswer{RequestID: request.RequestID, Result: result})
}

func (t *Target) handleCancel(rw http.ResponseWriter, r *http.Request) {
	var request cancelRequest
	if _, ok := readRequest(rw, r, &request); !ok {
		return
	}
	t.mu.Lock()
	w, ok := t.activeWork[workKey{request.QueryID, unquoteSubID(request.SubID)}]
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

// applyCrossedAnswer returns the answer unchanged, or a wrong one if a
// crossed-answer fault applies: the previous answer if it belongs to another
// query, else this answer with a different query ID.
func (t *Target) applyCrossedAnswer(own *searchAnswer) *searchAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	other := t.previousAnswer
	t.previousAnswer = own
	if !t.faultApplies(FaultCrossedAnswer) {
		return own
	}
	if other != nil && other.QueryID != own.QueryID {
		return other
	}
	crossed := *own
	crossed.QueryID = "crossed-" + own.QueryID
	return &crossed
}

// sendAnswer writes the answer, delayed or twice if a late-answer or
// duplicate-answer fault applies.
func (t *Target) sendAnswer(rw http.ResponseWriter, r *http.Request, value any) {
	t.mu.Lock()
	late, delay := t.faultApplies(FaultLateAnswer), t.delay(FaultLateAnswer)
	twice := t.faultApplies(FaultDuplicateAnswer)
	t.mu.Unlock()
	if late {
		time.Sleep(delay)
	}
	body := encode(value)
	writeJSON(rw, http.StatusOK, body)
	if c := connFromContext(r.Context()); twice && c != nil {
		_ = http.NewResponseController(rw).Flush()
		_, _ = c.Write(rawHTTPResponse(body))
	}
}

// rawHTTPResponse returns a complete HTTP response, which is written directly to
// the connection as an unsolicited duplicate.
func rawHTTPResponse(body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	return append([]byte(head), body...)
}

// readRequest decodes the body and returns the deadline, which is the time of
// receipt plus the duration in the Deadline header. The deadline is zero without
// that header. On failure it writes a refusal and returns false.
func readRequest(rw http.ResponseWriter, r *http.Request, into any) (time.Time, bool) {
	received := time.Now()
	decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBodyBytes))
	if err := decoder.Decode(into); err != nil {
		writeRefusal(rw, &refusal{http.StatusBadRequest, "malformed", err.Error()})
		return time.Time{}, false
	}
	header := r.Header.Get("Deadline")
	if header == "" {
		return time.Time{}, true
	}
	timeLeft, err := time.ParseDuration(header)
	if err != nil {
		writeRefusal(rw, &refusal{http.StatusBadRequest, "malformed", err.Error()})
		return time.Time{}, false
	}
	return received.Add(timeLeft), true
}

// writeRefusal writes the refusal, or breaks the connection if the target
// crashed.
func writeRefusal(rw http.ResponseWriter, r *refusal) {
	if r == refusalCrashed {
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

// encode panics on an error, which cannot occur: every type it is used with can
// be represented in JSON.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return body
}

// unquoteSubID returns the value of a JSON string, or the text of a JSON number.
func unquoteSubID(id rawSubID) string {
	var text string
	if json.Unmarshal(id, &text) == nil {
		return text
	}
	return string(id)
}
