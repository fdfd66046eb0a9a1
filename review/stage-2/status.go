package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["status"] = playStatus }

// playStatus sends requests that are not idempotent to a service of which one backend in eight
// fails a part of what it runs, with a status of its own and without Not-Executed.
func playStatus(s *Stage) {
	store := s.ServeStore(nil)
	s.Configure(map[string]any{
		"version": 1, "routes": []any{PlainRoute("/goka902/", "non_idempotent", "certificados", 2)}, "services": []any{Service("certificados")},
	})
	var runs, failures atomic.Int64
	fail := func(x Exchange) error {
		if n := runs.Add(1); !s.Trouble || n%20 >= 9 {
			return x.Backend.WriteSuccess(x)
		}
		failures.Add(1)
		body := "request " + x.ID + " failed half-way at " + x.Backend.ID
		_, err := fmt.Fprintf(x.Conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s",
			x.ID, x.Backend.Stamp(x.ID), len(body), body)
		return err
	}
	for i := range 8 {
		b := &Backend{ID: fmt.Sprintf("i-%d", i), Service: "certificados", Zone: Zones[0], Work: 10 * time.Millisecond}
		if i == 4 {
			b.Answer = fail
		}
		s.StartBackend(b)
	}
	vm := s.NewVM(0, Zones[0], store, "")
	vm.Start()
	vm.WaitReady(10 * time.Second)
	var clients sync.WaitGroup
	var refused atomic.Int64
	for c := range 6 {
		clients.Go(func() {
			client := s.NewClient()
			for n := range 150 {
				id := fmt.Sprintf("%08x%08x", c+1, n+1)
				s.Note("sent   request %s", id)
				a := client.Send(vm, "POST", "/goka902/2f", id, 2500*time.Millisecond, "issue one certificate", "")
				time.Sleep(20 * time.Millisecond)
				if ran := s.Runs(id); (a.Status == 503 || a.Status == 429) && len(ran) > 0 {
					refused.Add(1)
					s.Broken("REFUSED: request %s ran at %s and was answered %d", id, ran[0].Backend, a.Status)
				}
			}
		})
	}
	clients.Wait()
	s.Note("%d requests were refused although they had run; %d failures", refused.Load(), failures.Load())
}
