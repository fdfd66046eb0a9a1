// Package server serves the platform protocol over a store and a VM list, and
// injects faults into it.
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

// Limits are the rates that the platform serves, over all clients. A waiting
// watch counts as one read. Zero means no limit.
type Limits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// AnswerTime is the least time that a call takes.
	AnswerTime time.Duration
}

// Server is the platform stand-in.
type Server struct {
	store  *storer.Store
	log    *zap.Logger
	reads  *rate.Limiter
	writes *rate.Limiter
	// answerTime is the least time that a call takes.
	answerTime time.Duration

	mu     sync.Mutex
	faults []activeFault
	record Record
	vms    vmHistory
}

// Record counts the calls of the platform protocol.
type Record struct {
	// Calls counts the calls by kind, whatever their answer was.
	Calls map[string]int `json:"calls"`
	// Refused counts the error answers by code.
	Refused map[string]int `json:"refused"`
	// LostAnswers counts the writes that took effect without an answer.
	LostAnswers int `json:"lost-answers"`
	// ReadBytes and WrittenBytes are the sizes of the bodies of all answers and
	// of all values written.
	ReadBytes    int64 `json:"read-bytes"`
	WrittenBytes int64 `json:"written-bytes"`
}

// New returns a server of the store.
func New(store *storer.Store, limits Limits, vmLag time.Duration, log *zap.Logger) *Server {
	return &Server{
		store: store, log: log,
		reads: limiter(limits.ReadsPerSecond), writes: limiter(limits.WritesPerSecond),
		answerTime: limits.AnswerTime,
		record:     Record{Calls: map[string]int{}, Refused: map[string]int{}},
		vms:        vmHistory{lag: vmLag},
	}
}

// limiter allows bursts of one second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Handler returns the platform protocol and the control interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.call("get", s.reads, s.get))
	mux.HandleFunc("GET /v1/kv", s.call("list", s.reads, s.list))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.call("put", s.writes, s.put))
	mux.HandleFunc("GET /v1/watch", s.call("watch", s.reads, s.watch))
	mux.HandleFunc("POST /v1/leases", s.call("lease-grant", s.writes, s.grant))
	mux.HandleFunc("PUT /v1/leases/{id}", s.call("lease-renew", s.writes, s.renew))
	mux.HandleFunc("GET /v1/vms", s.call("vms", s.reads, s.listVMs))
	mux.HandleFunc("POST /control", s.inject)
	mux.HandleFunc("GET /control/record", s.showRecord)
	mux.HandleFunc("POST /control/vms", s.setVMs)
	return mux
}

// answer is what a call of the platform protocol returns.
type answer struct {
	status int
	body   any
}

type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func fail(status int, code, message string) answer {
	return answer{status, problem{code, message}}
}

// call counts the call, applies the faults and the rate limit and answers.
func (s *Server) call(kind string, limit *rate.Limiter, do func(*http.Request) answer) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		s.count(kind)
		pause(r.Context(), s.answerTime)
		if s.outage(r.Context()) {
			s.write(rw, fail(http.StatusServiceUnavailable, "outage", "the platform is down"))
			return
		}
		if !limit.Allow() {
			s.write(rw, fail(http.StatusTooManyRequests, "overloaded", "the platform's rate limit is exceeded"))
			return
		}
		r.Body = http.MaxBytesReader(rw, r.Body, maxBody)
		a := do(r)
		if a.status < http.StatusBadRequest && r.Method != http.MethodGet && s.losesAnswer() {
			panic(http.ErrAbortHandler)
		}
		s.write(rw, a)
	}
}

// maxBody leaves room for the escapes of a value of the greatest size.
const maxBody = 6*storer.MaxValue + 4096

func (s *Server) write(rw http.ResponseWriter, a answer) {
	body, err := json.Marshal(a.body)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.record.ReadBytes += int64(len(body))
	if p, ok := a.body.(problem); ok {
		s.record.Refused[p.Code]++
	}
	if m, ok := a.body.(mismatch); ok {
		s.record.Refused[m.Code]++
	}
	s.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(a.status)
	_, _ = rw.Write(body)
}

func (s *Server) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Calls[kind]++
}

func (s *Server) get(r *http.Request) answer {
	e, err := s.store.Get(time.Now(), r.PathValue("key"))
	if err != nil {
		return fail(http.StatusNotFound, string(storer.KindOf(err)), err.Error())
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

// mismatch carries the current entry, whose revision is zero if there is none.
type mismatch struct {
	problem
	storer.Entry
}

func (s *Server) put(r *http.Request) answer {
	var request putRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return fail(http.StatusBadRequest, "malformed", err.Error())
	}
	e, err := s.store.Put(time.Now(), r.PathValue("key"), request.Value, request.Expected, request.Lease)
	switch storer.KindOf(err) {
	case storer.KindMismatch:
		return answer{http.StatusConflict, mismatch{problem{string(storer.KindMismatch), err.Error()}, e}}
	case storer.KindTooLarge:
		return fail(http.StatusRequestEntityTooLarge, string(storer.KindTooLarge), err.Error())
	case storer.KindLeaseExpired:
		return fail(http.StatusNotFound, string(storer.KindLeaseExpired), err.Error())
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
		return fail(http.StatusBadRequest, "malformed", err.Error())
	}
	wait, err := parseWait(query.Get("wait"))
	if err != nil {
		return fail(http.StatusBadRequest, "malformed", err.Error())
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	page := s.store.Watch(ctx, query.Get("prefix"), after)
	if s.outage(r.Context()) {
		return fail(http.StatusServiceUnavailable, "outage", "the platform is down")
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
		return fail(http.StatusBadRequest, "malformed", err.Error())
	}
	if request.TTL <= 0 {
		return fail(http.StatusBadRequest, "malformed", "ttl must be above 0")
	}
	l := s.store.Grant(time.Now(), time.Duration(request.TTL))
	return answer{http.StatusOK, leaseAnswer{l.ID, Duration(l.TTL)}}
}

func (s *Server) renew(r *http.Request) answer {
	l, err := s.store.Renew(time.Now(), r.PathValue("id"))
	if err != nil {
		return fail(http.StatusNotFound, string(storer.KindOf(err)), err.Error())
	}
	return answer{http.StatusOK, leaseAnswer{l.ID, Duration(l.TTL)}}
}

func (s *Server) showRecord(rw http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	body, err := json.Marshal(s.record)
	s.mu.Unlock()
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(body)
}
