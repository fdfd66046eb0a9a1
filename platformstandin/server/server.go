// Package server serves the platform protocol from a store and a VM list, with
// fault injection.
package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/platformstandin/storer"
)

// Duration is the duration type of service documents.
type Duration = parser.Duration

// Limits are the rate limits over all clients; zero means no limit. A watch counts
// as one read, however long it waits.
type Limits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// AnswerTime is the minimum duration of a call.
	AnswerTime time.Duration
}

// Server is the simulated platform.
type Server struct {
	store  *storer.Store
	log    *zap.Logger
	reads  *rate.Limiter
	writes *rate.Limiter
	// answerTime is the minimum duration of a call.
	answerTime time.Duration

	mu     sync.Mutex
	faults []activeFault
	record Record
	vms    vmHistory
}

// Record counts the calls of the platform protocol.
type Record struct {
	// Calls counts all calls by kind, including refused ones.
	Calls map[string]int `json:"calls"`
	// Refused counts the error answers by code.
	Refused map[string]int `json:"refused"`
	// LostAnswers counts the writes that took effect and were not answered.
	LostAnswers int `json:"lost-answers"`
	// ReadBytes is the total size of all answer bodies, and WrittenBytes that
	// of all values written.
	ReadBytes    int64 `json:"read-bytes"`
	WrittenBytes int64 `json:"written-bytes"`
}

// New returns a server for the store.
func New(store *storer.Store, limits Limits, vmLag time.Duration, log *zap.Logger) *Server {
	return &Server{
		store: store, log: log,
		reads: newLimiter(limits.ReadsPerSecond), writes: newLimiter(limits.WritesPerSecond),
		answerTime: limits.AnswerTime,
		record:     Record{Calls: map[string]int{}, Refused: map[string]int{}},
		vms:        vmHistory{lag: vmLag},
	}
}

// newLimiter returns a limiter that allows bursts of up to one second's rate.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Handler returns the HTTP handler of the platform protocol and the control
// interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.callHandler("get", s.reads, s.get))
	mux.HandleFunc("GET /v1/kv", s.callHandler("list", s.reads, s.list))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.callHandler("put", s.writes, s.put))
	mux.HandleFunc("GET /v1/watch", s.callHandler("watch", s.reads, s.watch))
	mux.HandleFunc("POST /v1/leases", s.callHandler("lease-grant", s.writes, s.grant))
	mux.HandleFunc("PUT /v1/leases/{id}", s.callHandler("lease-renew", s.writes, s.renew))
	mux.HandleFunc("GET /v1/vms", s.callHandler("vms", s.reads, s.listVMs))
	mux.HandleFunc("POST /control", s.handleInject)
	mux.HandleFunc("GET /control/record", s.handleRecord)
	mux.HandleFunc("POST /control/vms", s.handleSetVMs)
	return mux
}

// answer is the HTTP status and JSON body of a platform protocol call.
type answer struct {
	status int
	body   any
}

type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func errorAnswer(status int, code, message string) answer {
	return answer{status, problem{code, message}}
}

// callHandler wraps a call with counting, faults and the rate limit.
func (s *Server) callHandler(kind string, limit *rate.Limiter, do func(*http.Request) answer) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		s.countCall(kind)
		sleep(r.Context(), s.answerTime)
		if s.applySlowAndOutage(r.Context()) {
			s.writeAnswer(rw, errorAnswer(http.StatusServiceUnavailable, "outage", "the platform is down"))
			return
		}
		if !limit.Allow() {
			s.writeAnswer(rw, errorAnswer(http.StatusTooManyRequests, "overloaded", "the platform's rate limit is exceeded"))
			return
		}
		r.Body = http.MaxBytesReader(rw, r.Body, maxBodyBytes)
		a := do(r)
		if a.status < http.StatusBadRequest && r.Method != http.MethodGet && s.drawLostAnswer() {
			panic(http.ErrAbortHandler)
		}
		s.writeAnswer(rw, a)
	}
}

// maxBodyBytes fits a value of the maximum size with every byte escaped in JSON.
const maxBodyBytes = 6*storer.MaxValueBytes + 4096

func (s *Server) writeAnswer(rw http.ResponseWriter, a answer) {
	body, err := json.Marshal(a.body)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.record.ReadBytes += int64(len(body))
	if p, ok := a.body.(problem); ok {
		s.record.Refused[p.Code]++
	}
	if m, ok := a.body.(mismatchAnswer); ok {
		s.record.Refused[m.Code]++
	}
	s.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(a.status)
	_, _ = rw.Write(body)
}

func (s *Server) countCall(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Calls[kind]++
}

func (s *Server) get(r *http.Request) answer {
	e, err := s.store.Get(time.Now(), r.PathValue("key"))
	if err != nil {
		return errorAnswer(http.StatusNotFound, string(storer.KindOf(err)), err.Error())
	}
	return answer{http.StatusOK, e}
}

func (s *Server) list(r *http.Request) answer {
	return answer{http.StatusOK, s.store.List(time.Now(), r.URL.Query().Get("prefix"))}
}

type putRequest struct {
	Value    string `json:"value"`
	Expected uint64 `json:"expected-revision"`
	Lease    string `json:"lease"`
}

// mismatchAnswer includes the current entry, with revision zero if the key does
// not exist.
type mismatchAnswer struct {
	problem
	storer.Entry
}

func (s *Server) put(r *http.Request) answer {
	var request putRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return errorAnswer(http.StatusBadRequest, "malformed", err.Error())
	}
	e, err := s.store.Put(time.Now(), r.PathValue("key"), request.Value, request.Expected, request.Lease)
	switch storer.KindOf(err) {
	case storer.KindMismatch:
		return answer{http.StatusConflict, mismatchAnswer{problem{string(storer.KindMismatch), err.Error()}, e}}
	case storer.KindTooLarge:
		return errorAnswer(http.StatusRequestEntityTooLarge, string(storer.KindTooLarge), err.Error())
	case storer.KindLeaseExpired:
		return errorAnswer(http.StatusNotFound, string(storer.KindLeaseExpired), err.Error())
	}
	s.mu.Lock()
	s.record.WrittenBytes += int64(len(request.Value))
	s.mu.Unlock()
	return answer{http.StatusOK, e}
}

const (
	defaultWait = 10 * time.Second
	maxWait     = time.Minute
)

func (s *Server) watch(r *http.Request) answer {
	query := r.URL.Query()
	after, err := parseRevision(query.Get("after-revision"))
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "malformed", err.Error())
	}
	wait, err := parseWait(query.Get("wait"))
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "malformed", err.Error())
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	page := s.store.Watch(ctx, query.Get("prefix"), after)
	if s.applySlowAndOutage(r.Context()) {
		return errorAnswer(http.StatusServiceUnavailable, "outage", "the platform is down")
	}
	return answer{http.StatusOK, page}
}

func parseRevision(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return defaultWait, nil
	}
	wait, err := time.ParseDuration(text)
	return min(wait, maxWait), err
}

type leaseRequest struct {
	TTL Duration `json:"ttl"`
}

type leaseAnswer struct {
	ID  string   `json:"id"`
	TTL Duration `json:"ttl"`
}

func (s *Server) grant(r *http.Request) answer {
	var request leaseRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return errorAnswer(http.StatusBadRequest, "malformed", err.Error())
	}
	if request.TTL <= 0 {
		return errorAnswer(http.StatusBadRequest, "malformed", "ttl must be above 0")
	}
	l := s.store.Grant(time.Now(), time.Duration(request.TTL))
	return answer{http.StatusOK, leaseAnswer{l.ID, Duration(l.TTL)}}
}

func (s *Server) renew(r *http.Request) answer {
	l, err := s.store.Renew(time.Now(), r.PathValue("id"))
	if err != nil {
		return errorAnswer(http.StatusNotFound, string(storer.KindOf(err)), err.Error())
	}
	return answer{http.StatusOK, leaseAnswer{l.ID, Duration(l.TTL)}}
}

func (s *Server) handleRecord(rw http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	body, err := json.Marshal(s.record)
	s.mu.Unlock()
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(body)
}
