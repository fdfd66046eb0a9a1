package simulator

import (
	"fmt"
	"time"

	"jackdawcart.org/targetstandin/describer"
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults. Faults from FaultClear on act once; the others last.
const (
	FaultSlow            FaultKind = "slow"
	FaultDrain           FaultKind = "drain"
	FaultShed            FaultKind = "shed"
	FaultCrashOn         FaultKind = "crash-on"
	FaultLateAnswer      FaultKind = "late-answer"
	FaultDuplicateAnswer FaultKind = "duplicate-answer"
	FaultCrossedAnswer   FaultKind = "crossed-answer"
	FaultStatusLag       FaultKind = "status-lag"
	FaultStatusLie       FaultKind = "status-lie"
	FaultClear           FaultKind = "clear"
	FaultCrash           FaultKind = "crash"
	FaultSilent          FaultKind = "silent"
	FaultFreeze          FaultKind = "freeze"
	FaultPublish         FaultKind = "publish"
	FaultRetire          FaultKind = "retire"
)

// Fault is one element of the list that is posted to the control address.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// For is how long the fault lasts; zero means until it is cleared. For a
	// crash it is the time during which connections are refused.
	For describer.Duration `json:"for,omitzero"`
	// Factor multiplies service times.
	Factor float64 `json:"factor,omitempty"`
	// Share is the share of requests or connections concerned; zero means all.
	Share float64            `json:"share,omitempty"`
	Delay describer.Duration `json:"delay,omitzero"`
	// Text is the text or payload that crashes the target.
	Text string `json:"text,omitempty"`
	// State and InFlight are what a lying status reports.
	State    string `json:"state,omitempty"`
	InFlight *int   `json:"in-flight,omitempty"`
	// Snapshot is published, or added to a lying status.
	Snapshot *describer.Snapshot `json:"snapshot,omitempty"`
	// ID names the snapshot to retire.
	ID string `json:"id,omitempty"`
}

type activeFault struct {
	Fault
	until time.Time
}

// Downtime of a crash whose fault names none.
const defaultDowntime = 2 * time.Second

func (f Fault) downtime() time.Duration {
	if f.For == 0 {
		return defaultDowntime
	}
	return time.Duration(f.For)
}

// Validate reports what is wrong with the fault.
func (f Fault) Validate() error {
	switch f.Kind {
	case FaultSlow:
		return check(f.Factor > 0, "slow needs a factor above 0")
	case FaultCrashOn:
		return check(f.Text != "", "crash-on needs a text")
	case FaultLateAnswer, FaultStatusLag:
		return check(f.Delay > 0, "%s needs a delay", f.Kind)
	case FaultPublish:
		if err := check(f.Snapshot != nil, "publish needs a snapshot"); err != nil {
			return err
		}
		return f.Snapshot.Validate()
	case FaultRetire:
		return check(f.ID != "", "retire needs an id")
	case FaultDrain, FaultShed, FaultDuplicateAnswer, FaultCrossedAnswer, FaultStatusLie,
		FaultClear, FaultCrash, FaultSilent, FaultFreeze:
		return check(f.Share >= 0 && f.Share <= 1, "share must be between 0 and 1")
	}
	return check(false, "unknown kind %q", f.Kind)
}

func check(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return &Error{Op: "validate", Kind: KindFault, Err: fmt.Errorf(format, args...)}
}

// Inject adds a fault to those in force, or performs one that acts once.
func (t *Target) Inject(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sample()
	switch f.Kind {
	case FaultClear:
		t.faults = nil
		t.unfreeze()
	case FaultCrash:
		t.crash(f.downtime())
	case FaultSilent:
		t.silence(f)
	case FaultFreeze:
		t.freeze(f)
	case FaultPublish:
		t.publish(*f.Snapshot)
	case FaultRetire:
		t.retire(f.ID)
	default:
		t.add(f)
	}
	t.sample()
	return nil
}

func (t *Target) add(f Fault) {
	active := activeFault{Fault: f}
	// The time of a crash-on fault is the downtime of each crash.
	if f.For > 0 && f.Kind != FaultCrashOn {
		active.until = time.Now().Add(time.Duration(f.For))
	}
	t.faults = append(t.faults, active)
}

// silence makes open connections silent until the fault ends, which closes
// them, as a peer that gives up on a dead connection does.
func (t *Target) silence(f Fault) {
	never := make(chan struct{})
	var silenced []*conn
	for c := range t.conns {
		if f.Share == 0 || t.random.Float64() < f.Share {
			c.silence(never)
			silenced = append(silenced, c)
		}
	}
	if f.For > 0 {
		time.AfterFunc(time.Duration(f.For), func() {
			for _, c := range silenced {
				_ = c.Close()
			}
		})
	}
}

// freeze makes open and new connections silent; they resume when it ends.
func (t *Target) freeze(f Fault) {
	t.unfreeze()
	thaw := make(chan struct{})
	t.thaw = thaw
	for c := range t.conns {
		c.silence(thaw)
	}
	if f.For > 0 {
		time.AfterFunc(time.Duration(f.For), func() { t.endFreeze(thaw) })
	}
}

func (t *Target) endFreeze(thaw chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.thaw == thaw {
		t.unfreeze()
	}
}

func (t *Target) unfreeze() {
	if t.thaw != nil {
		close(t.thaw)
		t.thaw = nil
	}
}

// find returns the newest fault of the kind that is in force.
func (t *Target) find(kind FaultKind) (Fault, bool) {
	now := time.Now()
	for i := len(t.faults) - 1; i >= 0; i-- {
		f := t.faults[i]
		if f.Kind == kind && (f.until.IsZero() || now.Before(f.until)) {
			return f.Fault, true
		}
	}
	return Fault{}, false
}

func (t *Target) has(kind FaultKind) bool {
	_, ok := t.find(kind)
	return ok
}

// strikes draws whether the fault concerns one request.
func (t *Target) strikes(kind FaultKind) bool {
	f, ok := t.find(kind)
	return ok && (f.Share == 0 || t.random.Float64() < f.Share)
}

func (t *Target) delay(kind FaultKind) time.Duration {
	f, _ := t.find(kind)
	return time.Duration(f.Delay)
}

func (t *Target) slowFactor() float64 {
	if f, ok := t.find(FaultSlow); ok {
		return f.Factor
	}
	return 1
}

func (t *Target) crashesOn(text string) (Fault, bool) {
	for _, f := range t.faults {
		if f.Kind == FaultCrashOn && f.Text == text {
			return f.Fault, true
		}
	}
	return Fault{}, false
}
