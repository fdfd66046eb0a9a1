package runner_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawcart.org/entry/responder"
)

// Connections that are closed for others while they read, run, send or wait must neither
// race with their requests, end one that runs, nor leave memory behind in the budget.
func TestEvictionsInAnyPhase(t *testing.T) {
	// machineBytes has room for about 12 connections.
	const machineBytes, clients, length = 1 << 20, 40, time.Second
	server := newGuardedServer(t, machineBytes, time.Second, func(w http.ResponseWriter, r *http.Request) {
		if memory := responder.MemoryOf(r.Context()); r.ContentLength > 0 && !memory.Reserve(30<<10) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !responder.MemoryOf(r.Context()).Received() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Millisecond)
		if r.Context().Err() != nil && r.Header.Get("Stays") != "" {
			t.Error("a running request was ended")
		}
		_, _ = w.Write(make([]byte, 20<<10))
	})
	address := server.Listener.Addr().String()
	texts := []string{
		"", "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 100),
		"GET / HTTP/1.1\r\nHost: x\r\nStays: 1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf",
		"POST / HTTP/1.1\r\nHost: x\r\nStays: 1\r\nContent-Length: 4\r\n\r\nbody",
		strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 50),
	}
	var running sync.WaitGroup
	for k := range clients {
		running.Go(func() {
			for i, end := k, time.Now().Add(length); time.Now().Before(end); i++ {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				text := texts[i%len(texts)]
				_, _ = io.WriteString(conn, text)
				if strings.Contains(text, "Stays") {
					_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
					_, _ = io.CopyN(io.Discard, conn, 20<<10)
				} else {
					// The others read a part of the answer at most.
					_ = conn.SetReadDeadline(time.Now().Add(time.Duration(i%7) * 10 * time.Millisecond))
					_, _ = conn.Read(make([]byte, 100))
					time.Sleep(time.Duration(i%5) * 10 * time.Millisecond)
				}
				conn.Close()
			}
		})
	}
	running.Wait()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	var problem error
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		response, err := client.Get(server.URL)
		if err != nil {
			problem = err
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		problem = fmt.Errorf("status %d", response.StatusCode)
	}
	t.Errorf("no request is served afterwards: %v", problem)
}
