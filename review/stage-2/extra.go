package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = playExtra }

const (
	// extraBackends is the number of backends, of which the first faultyBackends send additional
	// bytes after one answer in extraInterval: 0.6 of the backends, 0.03 of their answers.
	extraBackends, faultyBackends = 5, 3
	extraInterval                 = 34
)

// playExtra sends requests that are not idempotent, one after the other, to a service. A part
// of the complete answers of some backends is followed by additional bytes, which arrive late,
// where the next answer on the connection is expected.
func playExtra(s *Stage) {
	store := s.ServeStore(nil)
	s.Configure(map[string]any{
		"version": 1, "routes": []any{PlainRoute("/goka902/", "non_idempotent", "certificados", 2)}, "services": []any{Service("certificados")},
	})
	var answers, extras atomic.Int64
	before := func(x Exchange) error {
		if n := answers.Add(1); !s.Trouble || x.Number == 0 || n%extraInterval != 0 {
			return nil
		}
		extras.Add(1)
		s.Note("extra  bytes on the connection of request %s at %s", x.ID, x.Backend.ID)
		_, err := io.WriteString(x.Conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	for i := range extraBackends {
		b := &Backend{ID: fmt.Sprintf("i-%d", i), Service: "certificados", Zone: Zones[0], Work: 10 * time.Millisecond}
		if i < faultyBackends {
			b.Before = before
		}
		s.StartBackend(b)
	}
	vm := s.NewVM(0, Zones[0], store, "")
	vm.Start()
	vm.WaitReady(10 * time.Second)
	client := s.NewClient()
	twice := 0
	for n := range 600 {
		id := fmt.Sprintf("%016x", n+1)
		s.Note("sent   request %s", id)
		a := client.Send(vm, "POST", "/goka902/2f", id, 2500*time.Millisecond, "issue one certificate", "")
		time.Sleep(20 * time.Millisecond)
		runs := s.Runs(id)
		if len(runs) > 1 {
			twice++
			s.Broken("TWICE: request %s ran at %s and at %s; the client got %d", id, runs[0].Backend, runs[1].Backend, a.Status)
		}
		if (a.Status == 503 || a.Status == 429) && len(runs) > 0 {
			s.Broken("REFUSED: request %s ran and was answered %d", id, a.Status)
		}
	}
	s.Note("%d requests ran twice; %d extra answers", twice, extras.Load())
}
