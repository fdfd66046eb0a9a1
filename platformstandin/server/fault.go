package server

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultOutage answers 503, or nothing at all when the fault is silent.
	FaultOutage FaultKind = "outage"
	// FaultSlow delays every call.
	FaultSlow FaultKind = "slow"
	// FaultLoseAnswer breaks the connection after a write took effect.
	FaultLoseAnswer FaultKind = "lose-answer"
	// FaultVMLag delays the VM list.
	FaultVMLag FaultKind = "vm-lag"
	// FaultClear ends all faults.
	FaultClear FaultKind = "clear"
)

// Fault is one element of the list that is posted to the control address.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// For is how long the fault lasts; zero means until it is cleared.
	For   Duration `json:"for,omitzero"`
	Delay Duration `json:"delay,omitzero"`
	// Share is the share of answers that are lost; zero means all.
	Share float64 `json:"share,omitempty"`
	// Silent makes an outage hold the calls instead of refusing them.
	Silent bool `json:"silent,omitempty"`
}

type activeFault struct {
	Fault
	until time.Time
}

func (f Fault) validate() error {
	switch f.Kind {
	case FaultSlow, FaultVMLag:
		if f.Delay <= 0 {
			return fmt.Errorf("server: fault: %s needs a delay", f.Kind)
		}
	case FaultOutage, FaultLoseAnswer, FaultClear:
	default:
		return fmt.Errorf("server: fault: unknown kind %q", f.Kind)
	}
	if f.Share < 0 || f.Share > 1 {
		return fmt.Errorf("server: fault: share must be between 0 and 1")
	}
	return nil
}

// Inject adds a fault to those in force; the newest of a kind counts.
func (s *Server) Inject(f Fault) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Info("fault injected", zap.String("kind", string(f.Kind)))
	if f.Kind == FaultClear {
		s.faults = nil
		return nil
	}
	active := activeFault{Fault: f}
	if f.For > 0 {
		active.until = time.Now().Add(time.Duration(f.For))
	}
	s.faults = append(s.faults, active)
	return nil
}

func (s *Server) find(kind FaultKind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.faults) - 1; i >= 0; i-- {
		f := s.faults[i]
		if f.Kind == kind && (f.until.IsZero() || time.Now().Before(f.until)) {
			return f.Fault, true
		}
	}
	return Fault{}, false
}

const silentPoll = 20 * time.Millisecond

// outage applies slowness and reports whether the platform is down. A silent
// outage holds the call until it ends or the client goes away.
func (s *Server) outage(ctx context.Context) bool {
	if f, ok := s.find(FaultSlow); ok {
		pause(ctx, time.Duration(f.Delay))
	}
	f, down := s.find(FaultOutage)
	for down && f.Silent && ctx.Err() == nil {
		pause(ctx, silentPoll)
		f, down = s.find(FaultOutage)
	}
	return down
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) losesAnswer() bool {
	f, ok := s.find(FaultLoseAnswer)
	if !ok || (f.Share > 0 && rand.Float64() >= f.Share) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.LostAnswers++
	return true
}

func (s *Server) inject(rw http.ResponseWriter, r *http.Request) {
	var faults []Fault
	decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		s.write(rw, fail(http.StatusBadRequest, "malformed", err.Error()))
		return
	}
	for _, f := range faults {
		if err := s.Inject(f); err != nil {
			s.write(rw, fail(http.StatusBadRequest, "invalid", err.Error()))
			return
		}
	}
	rw.WriteHeader(http.StatusNoContent)
}
