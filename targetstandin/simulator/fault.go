package simulator

import (
	"fmt"
	"time"

	"jackdawcart.org/targetstandin/describer"
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults. Those from FaultClear on are one-time actions; the others stay
// active until they expire or are cleared.
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

// Fault is one element of the list posted to the control address.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// For is the duration of the fault; zero means until it is cleared. For a
	// crash it is the time during which connections are refused.
	For describer.Duration `json:"for,omitzero"`
	// Factor multiplies service times.
	Factor float64 `json:"factor,omitempty"`
	// Share is the fraction of requests or connections affected; zero means
	// all.
	Share float64            `json:"share,omitempty"`
	Delay describer.Duration `json:"delay,omitzero"`
	// Text is the search text or execution payload that crashes the target.
	Text string `json:"text,omitempty"`
	// State and InFlight override the reported status of a status-lie fault.
	State    string `json:"state,omitempty"`
	InFlight *int   `json:"in-flight,omitempty"`
	// Snapshot is the snapshot to publish, or the one that a status-lie fault
	// adds to the reported status.
	Snapshot *describer.Snapshot `json:"snapshot,omitempty"`
	// ID names the snapshot to retire.
	ID string `json:"id,omitempty"`
}

type activeFault struct {
	Fault
	until time.Time
}

// defaultDowntime applies to a crash fault that sets no duration.
const defaultDowntime = 2 * time.Second

func (f Fault) downtime() time.Duration {
	if f.For == 0 {
		return defaultDowntime
	}
	return time.Duration(f.For)
}

// Validate returns an error if the kind is unknown or a parameter is missing or
// out of range.
func (f Fault) Validate() error {
	switch f.Kind {
	case FaultSlow:
		return require(f.Factor > 0, "slow needs a factor above 0")
	case FaultCrashOn:
		return require(f.Text != "", "crash-on needs a text")
	case FaultLateAnswer, FaultStatusLag:
		return require(f.Delay > 0, "%s needs a delay", f.Kind)
	case FaultPublish:
		if err := require(f.Snapshot != nil, "publish needs a snapshot"); err != nil {
			return err
		}
		return f.Snapshot.Validate()
	case FaultRetire:
		return require(f.ID != "", "retire needs an id")
	case FaultDrain, FaultShed, FaultDuplicateAnswer, FaultCrossedAnswer, FaultStatusLie,
		FaultClear, FaultCrash, FaultSilent, FaultFreeze:
		return require(f.Share >= 0 && f.Share <= 1, "share must be between 0 and 1")
	}
	return require(false, "unknown kind %q", f.Kind)
}

func require(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return &Error{Op: "validate", Kind: KindFault, Err: fmt.Errorf(format, args...)}
}

// Inject activates a fault, or performs a one-time action.
func (t *Target) Inject(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sampleStatus()
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
		t.addFault(f)
	}
	t.sampleStatus()
	return nil
}

func (t *Target) addFault(f Fault) {
	active := activeFault{Fault: f}
	// For a crash-on fault, For is the downtime of each crash and not the
	// lifetime of the fault.
	if f.For > 0 && f.Kind != FaultCrashOn {
		active.until = time.Now().Add(time.Duration(f.For))
	}
	t.faults = append(t.faults, active)
}

// silence makes open connections silent. They are closed when the fault ends,
// as when a peer times out on a dead connection.
func (t *Target) silence(f Fault) {
	neverResumed := make(chan struct{})
	var silenced []*conn
	for c := range t.conns {
		if f.Share == 0 || t.random.Float64() < f.Share {
			c.silence(neverResumed)
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

// freeze makes open and new connections silent until the fault ends; they then
// resume.
func (t *Target) freeze(f Fault) {
	t.unfreeze()
	resumed := make(chan struct{})
	t.resumed = resumed
	for c := range t.conns {
		c.silence(resumed)
	}
	if f.For > 0 {
		time.AfterFunc(time.Duration(f.For), func() { t.endFreeze(resumed) })
	}
}

// endFreeze ends the freeze that resumed belongs to, unless it was cleared or
// replaced by another one.
func (t *Target) endFreeze(resumed chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resumed == resumed {
		t.unfreeze()
	}
}

func (t *Target) unfreeze() {
	if t.resumed != nil {
		close(t.resumed)
		t.resumed = nil
	}
}

// findFault returns the most recently injected active fault of the kind.
func (t *Target) findFault(kind FaultKind) (Fault, bool) {
	now := time.Now()
	for i := len(t.faults) - 1; i >= 0; i-- {
		f := t.faults[i]
		if f.Kind == kind && (f.until.IsZero() || now.Before(f.until)) {
			return f.Fault, true
		}
	}
	return Fault{}, false
}

func (t *Target) hasFault(kind FaultKind) bool {
	_, ok := t.findFault(kind)
	return ok
}

// faultApplies reports whether an active fault of the kind affects the current
// request, which is drawn at random according to its share.
func (t *Target) faultApplies(kind FaultKind) bool {
	f, ok := t.findFault(kind)
	return ok && (f.Share == 0 || t.random.Float64() < f.Share)
}

func (t *Target) delay(kind FaultKind) time.Duration {
	f, _ := t.findFault(kind)
	return time.Duration(f.Delay)
}

func (t *Target) slowFactor() float64 {
	if f, ok := t.findFault(FaultSlow); ok {
		return f.Factor
	}
	return 1
}

// findCrashOn returns the crash-on fault that matches the text.
func (t *Target) findCrashOn(text string) (Fault, bool) {
	for _, f := range t.faults {
		if f.Kind == FaultCrashOn && f.Text == text {
			return f.Fault, true
		}
	}
	return Fault{}, false
}
