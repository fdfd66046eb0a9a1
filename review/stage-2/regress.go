package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["regress"] = playRegress }

// Gate is in front of the store. While it is closed, every call is answered 503, and the
// calls that are waiting are cut.
type Gate struct {
	mu     sync.Mutex
	closed bool
	cut    chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{cut: make(chan struct{})} }

// Close makes the store turn calls away.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	close(g.cut)
	g.cut = make(chan struct{})
}

// Open ends that.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
}

// Wrap puts the gate in front of a handler.
func (g *Gate) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		closed, cut := g.closed, g.cut
		g.mu.Unlock()
		if closed {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			select {
			case <-cut:
				cancel()
			case <-ctx.Done():
			}
		}()
		next.ServeHTTP(w, r.WithContext(ctx))
		select {
		case <-cut:
			panic(http.ErrAbortHandler)
		default:
		}
	})
}

// playRegress moves a route to another service while the store turns one machine in three away
// and the backends of the former service are down. Later the other machines are stopped and
// started in turn, as planned.
func playRegress(s *Stage) {
	const (
		turnedAway = 9 * time.Second
		crashed    = 3500 * time.Millisecond
		// rollGap is the pause between the stops of two machines.
		rollGap = time.Second
		// downgradeSlack is the bound downgradeSlackMs.
		downgradeSlack = 250 * time.Millisecond
	)
	gate := NewGate()
	sound := s.ServeStore(nil)
	services := []any{Service("certificados"), Service("municipios")}
	s.Configure(map[string]any{"version": 1, "routes": []any{PlainRoute("/goka902/", "idempotent", "certificados", 2)}, "services": services})
	former := make([]*Backend, 3)
	for i := range former {
		former[i] = s.StartBackend(&Backend{ID: fmt.Sprintf("i-old-%d", i), Service: "certificados", Zone: Zones[i], Work: 10 * time.Millisecond})
		s.StartBackend(&Backend{ID: fmt.Sprintf("i-new-%d", i), Service: "municipios", Zone: Zones[i], Work: 10 * time.Millisecond})
	}
	vms := []*VM{s.NewVM(0, Zones[0], s.ServeStore(gate.Wrap), ""), s.NewVM(1, Zones[1], sound, ""), s.NewVM(2, Zones[2], sound, "")}
	for _, vm := range vms {
		vm.Start()
	}
	for _, vm := range vms {
		vm.WaitReady(10 * time.Second)
	}
	client := s.NewClient()
	var seenAt time.Time
	n := 0
	// ask sends requests to the first machine, one after the other.
	ask := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			n++
			id := fmt.Sprintf("%016x", n)
			sent := time.Now()
			s.Note("sent   request %s", id)
			a := client.Send(vms[0], "GET", "/goka902/2f", id, 2500*time.Millisecond, "", "")
			for _, r := range s.Runs(id) {
				switch {
				case r.Service == "municipios" && seenAt.IsZero():
					seenAt = r.At
					s.Note("a backend saw the effect of version 7 through %s", vms[0].Name)
				case r.Service == "certificados" && !seenAt.IsZero() && sent.Sub(seenAt) > downgradeSlack:
					s.Broken("CONFIG: request %s at %s ran at %s, %d ms after a backend saw the effect of version 7; the client got %d",
						id, vms[0].Name, r.Service, sent.Sub(seenAt).Milliseconds(), a.Status)
				}
			}
		}
	}
	ask(3 * time.Second)
	if s.Trouble {
		s.Note("the store turns %s away", vms[0].Name)
		gate.Close()
		time.AfterFunc(turnedAway, func() { s.Note("the store serves %s again", vms[0].Name); gate.Open() })
		s.Note("the backends of certificados crash")
		for _, b := range former {
			b.Close()
		}
		time.AfterFunc(crashed, func() {
			s.Note("the backends of certificados are back")
			for _, b := range former {
				b.Restart()
			}
		})
	}
	ask(500 * time.Millisecond)
	s.Configure(map[string]any{"version": 7, "routes": []any{PlainRoute("/goka902/", "idempotent", "municipios", 2)}, "services": services})
	ask(4 * time.Second)
	var rolled sync.WaitGroup
	for _, vm := range vms[1:] {
		vm.Signal(termSignal)
		rolled.Go(func() {
			vm.WaitEnd()
			vm.Start()
		})
		ask(rollGap)
	}
	ask(8 * time.Second)
	rolled.Wait()
}

// Restart starts the process of the backend again, under its id and at its address.
func (b *Backend) Restart() {
	b.mu.Lock()
	b.born, b.sequence = time.Now().UnixMilli(), 0
	b.mu.Unlock()
	b.listen(b.Address())
	b.Register()
}
