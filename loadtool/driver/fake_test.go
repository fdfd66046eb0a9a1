package driver_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/checker"
)

var fakeShardMap = checker.ShardMap{
	Service: "agenda", Set: "old", Snapshot: "a1", Sequence: 1,
	Shards: []checker.Shard{{Name: "x", Weight: 1}, {Name: "y", Weight: 3}},
}

// fakeGateway computes correct answers with the checker's functions, unless a
// field makes it fail or alter them. It also serves the targets' control address.
type fakeGateway struct {
	callerapi.UnimplementedHandler
	corrupt      func(*callerapi.QueryAnswer)
	refuse       func(*callerapi.QueryRequest) error
	runTwice     bool
	stall        sync.RWMutex
	mu           sync.Mutex
	lastID       int
	targetRecord checker.TargetRecord
	results      map[string]string
	faultPaths   []string
}

func startFakeGateway(t *testing.T, g *fakeGateway) (gateway, control netip.AddrPort) {
	t.Helper()
	g.results = map[string]string{}
	g.targetRecord.Maps = []checker.ShardMap{fakeShardMap}
	api, err := callerapi.NewServer(g)
	if err != nil {
		t.Fatal(err)
	}
	return startServer(t, api), startServer(t, http.HandlerFunc(g.control))
}

func startServer(t *testing.T, h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func (g *fakeGateway) control(rw http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Method == http.MethodPost {
		g.faultPaths = append(g.faultPaths, r.URL.Path)
		return
	}
	_ = json.NewEncoder(rw).Encode(g.targetRecord)
}

func (g *fakeGateway) Query(_ context.Context, request *callerapi.QueryRequest, _ callerapi.QueryParams) (*callerapi.QueryAnswer, error) {
	g.stall.RLock()
	defer g.stall.RUnlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	id := "q" + strconv.Itoa(g.lastID)
	answer := &callerapi.QueryAnswer{
		QueryID: id, RequestID: request.RequestID, Complete: true, Coverage: 1,
		Services: []callerapi.ServiceAnswer{{Service: "agenda", Set: "old", Snapshot: "a1", Coverage: 1, MissingShards: []string{}}},
		Hits:     []callerapi.Hit{},
	}
	for _, shard := range fakeShardMap.Shards {
		g.recordRun(checker.Run{Kind: checker.RunSearch, QueryID: id, Shard: shard.Name, Snapshot: "a1", Text: request.Text})
		for _, h := range checker.Search(shard.Name, "a1", request.Text, 0) {
			answer.Hits = append(answer.Hits, callerapi.Hit{Service: "agenda", ID: h.ID, Score: h.Score, Title: h.Title})
		}
	}
	slices.SortFunc(answer.Hits, func(a, b callerapi.Hit) int {
		if a.Score > b.Score {
			return -1
		}
		return 1
	})
	answer.Hits = answer.Hits[:min(len(answer.Hits), request.Limit.Value)]
	if g.refuse != nil {
		return nil, g.refuse(request)
	}
	if g.corrupt != nil {
		g.corrupt(answer)
	}
	return answer, nil
}

func (g *fakeGateway) recordRun(r checker.Run) {
	r.Target, r.Service, r.Set, r.Outcome = "agenda-1", "agenda", "old", checker.RunCompleted
	r.Start = time.Now()
	g.targetRecord.Runs = append(g.targetRecord.Runs, r)
}

func (g *fakeGateway) IssueTicket(context.Context, callerapi.IssueTicketParams) (*callerapi.Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	return &callerapi.Ticket{Ticket: "t" + strconv.Itoa(g.lastID), ExpiresIn: time.Minute}, nil
}

func (g *fakeGateway) Execute(_ context.Context, request *callerapi.ExecuteRequest, _ callerapi.ExecuteParams) (*callerapi.ExecuteAnswer, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := request.Ticket.Value + request.IdempotencyKey.Value
	if _, ok := g.results[id]; !ok || g.runTwice {
		g.recordRun(checker.Run{Kind: checker.RunExecute, RequestID: id, Text: request.Payload})
	}
	g.results[id] = checker.Execute(request.Operation, request.Payload)
	return &callerapi.ExecuteAnswer{RequestID: id, Result: g.results[id]}, nil
}

func (g *fakeGateway) NewError(_ context.Context, err error) *callerapi.ErrorStatusCode {
	var typed *callerapi.ErrorStatusCode
	if errors.As(err, &typed) {
		return typed
	}
	return &callerapi.ErrorStatusCode{StatusCode: http.StatusInternalServerError, Response: callerapi.Error{
		Code: callerapi.ErrorCodeInternal, Message: err.Error(), Outcome: callerapi.OutcomeUnknown,
	}}
}
