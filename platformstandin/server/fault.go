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
	// FaultOutage answers every call with 503, or not at all if it is silent.
	FaultOutage FaultKind = "outage"
	// FaultSlow delays every call.
	FaultSlow FaultKind = "slow"
	// FaultLoseAnswer breaks the connection after a write has taken effect.
	FaultLoseAnswer FaultKind = "lose-answer"
	// FaultVMLag delays the visibility of VM list changes.
	FaultVMLag FaultKind = "vm-lag"
	// FaultClear ends all faults.
	FaultClear FaultKind = "clear"
)

// Fault is one element of the list posted to the control address.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// For is the duration of the fault; zero means until it is cleared.
	For   Duration `json:"for,omitzero"`
	Delay Duration `json:"delay,omitzero"`
	// Share is the fraction of answers that are lost; zero means all.
	Share float64 `json:"share,omitempty"`
	// Silent makes an outage leave calls unanswered instead of refusing them.
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

// Inject activates a fault. The most recently injected active fault of a kind
// takes precedence.
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

func (s *Server) findFault(kind FaultKind) (Fault, bool) {
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

const silentPollInterval = 20 * time.Millisecond

// applySlowAndOutage delays the call by a slow fault and reports whether an outage
// is active. A silent outage blocks the call until the outage ends or the client
// disconnects.
func (s *Server) applySlowAndOutage(ctx context.Context) bool {
	if f, ok := s.findFault(FaultSlow); ok {
		sleep(ctx, time.Duration(f.Delay))
	}
	f, down := s.findFault(FaultOutage)
	for down && f.Silent && ctx.Err() == nil {
		sleep(ctx, silentPollInterval)
		f, down = s.findFault(FaultOutage)
	}
	return down
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// drawLostAnswer reports whether the answer is to be lost, drawn at random
// according to the share of the fault, and counts it.
func (s *Server) drawLostAnswer() bool {
	f, ok := s.findFault(FaultLoseAnswer)
	if !ok || (f.Share > 0 && rand.Float64() >= f.Share) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.LostAnswers++
	return true
}

func (s *Server) handleInject(rw http.ResponseWriter, r *http.Request) {
	var faults []Fault
	decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		s.writeAnswer(rw, errorAnswer(http.StatusBadRequest, "malformed", err.Error()))
		return
	}
	for _, f := range faults {
		if err := s.Inject(f); err != nil {
			s.writeAnswer(rw, errorAnswer(http.StatusBadRequest, "invalid", err.Error()))
			return
		}
	}
	rw.WriteHeader(http.StatusNoContent)
}
