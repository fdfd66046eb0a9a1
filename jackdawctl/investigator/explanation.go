package investigator

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// stateChangeWindow is how long before the end of a request a state change on its VM
	// counts as relevant: the longest time for which a target is ejected, with a margin.
	stateChangeWindow = 10 * time.Second
	// otherRequestsWindow is how far apart two requests may end for their outcomes at a
	// target to be compared, which shows whether the target was slow for every VM.
	otherRequestsWindow = time.Second
	// maxEqualRequests limits the lines about equal requests.
	maxEqualRequests = 20
)

// Explanation is what the logs hold about one request.
type Explanation struct {
	// Request is the log line of the request's end or refusal, on the VM that has served
	// it, or else on the one that it was sent to.
	Request Line
	// Hops are the other lines about the request, if one VM has passed it to another.
	Hops []Line
	// StateChanges are the log lines of the same VMs, shortly before the end, about the
	// store, the configuration and the targets in the request's troubles.
	StateChanges []Line `json:"Beliefs"`
	// EqualRequests are the latest log lines of all VMs until the end about requests with
	// the same fingerprint, and about targets that were lost under them.
	EqualRequests []Line
	// Targets holds the outcomes of other requests at each target in the request's
	// troubles, or, for a request that was rejected because of overload, at each target
	// that refused a part of another request.
	Targets []Target
	// Unreadable is the number of lines that are not log lines of an entry VM.
	Unreadable int
}

// Target is a target in the troubles field of a request's log line.
type Target struct {
	ID string
	// Others counts the sub-requests in the troubles of other requests at the same
	// target and time, by outcome. VMs is the number of VMs that logged them.
	Others map[string]int
	VMs    int
}

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindUnreadable Kind = "unreadable"
	KindNotFound   Kind = "not-found"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string { return fmt.Sprintf("investigator: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Opener opens the logs for one pass.
type Opener func() (io.ReadCloser, error)

// Explain returns the explanation of a request. It reads the logs twice, because the
// VM and the targets of the request are known only after the line of its end.
func Explain(openLogs Opener, request string) (Explanation, error) {
	var explanation Explanation
	var err error
	explanation.Unreadable, err = scanLogs(openLogs, func(l Line) {
		if rank(l) > 0 && l.Value(fieldRequest) == request {
			explanation.addLine(l)
		}
	})
	if err != nil {
		return Explanation{}, err
	}
	if explanation.Request.At.IsZero() {
		return Explanation{}, &Error{Op: "find", Kind: KindNotFound, Err: fmt.Errorf("no log line for the end or refusal of request %q", request)}
	}
	c := newCollector(explanation.Request, explanation.Hops)
	if _, err := scanLogs(openLogs, c.visit); err != nil {
		return Explanation{}, err
	}
	explanation.StateChanges, explanation.Targets = c.sortedStateChanges(), c.sortedTargets()
	explanation.EqualRequests = c.latestEqualRequests()
	return explanation, nil
}

// rank orders the lines about one request by how much they tell of its outcome; 0 means
// that a line is about something else.
func rank(l Line) int {
	switch {
	case l.Message == messageEnded:
		return 4
	case l.Message == messageDelegated:
		return 3
	case l.Message == messageRefused && l.Value(fieldForVM) == "":
		return 2
	case l.Message == messageRefused:
		return 1
	default:
		return 0
	}
}

// addLine adds a line about the request.
func (e *Explanation) addLine(l Line) {
	switch {
	case e.Request.At.IsZero():
		e.Request = l
	case rank(l) >= rank(e.Request):
		e.Hops = append(e.Hops, e.Request)
		e.Request = l
	default:
		e.Hops = append(e.Hops, l)
	}
}

func scanLogs(openLogs Opener, visit func(Line)) (unreadable int, err error) {
	r, err := openLogs()
	if err != nil {
		return 0, &Error{Op: "open", Kind: KindUnreadable, Err: err}
	}
	// An error on closing a file that was only read loses no data.
	defer func() { _ = r.Close() }()
	unreadable, err = readLines(r, visit)
	if err != nil {
		return 0, &Error{Op: "read", Kind: KindUnreadable, Err: err}
	}
	return unreadable, nil
}

// collector gathers the log lines that are relevant to a request.
type collector struct {
	request Line
	// nodes holds the VMs that had to do with the request.
	nodes map[string]bool
	// overload is true for a request that was rejected before any target was asked. The
	// targets that refused other requests at that time are relevant to it.
	overload     bool
	targetIDs    []string
	targets      map[string]*Target
	vmsByTarget  map[string]map[string]bool
	stateChanges []Line
	// words holds the last line of each kind about what a target has said that it wants, if
	// that left no room for the request.
	words map[word]Line
	// equalRequests holds the lines about the request's fingerprint, in any order.
	equalRequests []Line
}

func newCollector(request Line, hops []Line) *collector {
	c := &collector{
		request: request, overload: request.Message == messageRefused && request.Value(fieldReason) == reasonOverload,
		words: make(map[word]Line), targets: make(map[string]*Target), vmsByTarget: make(map[string]map[string]bool),
	}
	c.nodes = map[string]bool{request.Node: true}
	for _, hop := range hops {
		c.nodes[hop.Node] = true
	}
	for id := range outcomesByTarget(request) {
		c.addTarget(id)
	}
	return c
}

func (c *collector) addTarget(id string) {
	c.targetIDs = append(c.targetIDs, id)
	c.targets[id] = &Target{ID: id, Others: make(map[string]int)}
	c.vmsByTarget[id] = make(map[string]bool)
}

func (c *collector) visit(l Line) {
	if c.concernsEqualRequest(l) {
		c.equalRequests = append(c.equalRequests, l)
	}
	switch {
	case l.Message == messageEnded:
		if l.Value(fieldRequest) != c.request.Value(fieldRequest) && l.At.Sub(c.request.At).Abs() <= otherRequestsWindow {
			c.countOutcomes(l)
		}
	case c.isWord(l):
		c.words[word{l.Message, l.Value(fieldTarget)}] = l
	case !c.nodes[l.Node] || l.At.After(c.request.At) || c.request.At.Sub(l.At) > stateChangeWindow:
	case c.isRelevant(l):
		c.stateChanges = append(c.stateChanges, l)
	}
}

// word identifies what a target has said: the message of the line, and the target.
type word struct{ message, target string }

// isWord reports whether a line is about what a target wants from the request's VM, and that
// left no room for the request. Any target may have been the one without room.
func (c *collector) isWord(l Line) bool {
	if c.request.Value(fieldLimited) == "" || l.Node != c.request.Node || l.At.After(c.request.At) {
		return false
	}
	return l.Message == messageLimit || l.Message == messagePause || l.Message == messageLeaving
}

// inForce reports whether what a target has said still holds at a time.
func inForce(l Line, at time.Time) bool {
	switch l.Message {
	case messageLimit:
		return l.Value(fieldNamed) == "true"
	case messagePause:
		pause, err := time.ParseDuration(l.Value(fieldPause))
		return err == nil && at.Before(l.At.Add(pause))
	default:
		return true
	}
}

// sortedStateChanges returns the state changes, and what the targets have said as far as it
// is in force, in the order of time.
func (c *collector) sortedStateChanges() []Line {
	for _, l := range c.words {
		if inForce(l, c.request.At) {
			c.stateChanges = append(c.stateChanges, l)
		}
	}
	slices.SortStableFunc(c.stateChanges, func(a, b Line) int { return a.At.Compare(b.At) })
	return c.stateChanges
}

// concernsEqualRequest reports whether a line from before the end is about another request
// with the same fingerprint.
func (c *collector) concernsEqualRequest(l Line) bool {
	fingerprint := c.request.Value(fieldFingerprint)
	if fingerprint == "" || l.At.After(c.request.At) || l.Value(fieldRequest) == c.request.Value(fieldRequest) {
		return false
	}
	for _, field := range []string{fieldFingerprint, fieldFingerprints, fieldGivenUp} {
		if slices.Contains(strings.Split(l.Value(field), ","), fingerprint) {
			return true
		}
	}
	return false
}

// latestEqualRequests returns the lines about equal requests in the order of time.
func (c *collector) latestEqualRequests() []Line {
	slices.SortStableFunc(c.equalRequests, func(a, b Line) int { return a.At.Compare(b.At) })
	return c.equalRequests[max(len(c.equalRequests)-maxEqualRequests, 0):]
}

// isRelevant reports whether a state change may have affected the request.
func (c *collector) isRelevant(l Line) bool {
	if target := l.Value(fieldTarget); target != "" {
		return c.targets[target] != nil
	}
	return l.Message != messageRefused && l.Message != messageDelegated
}

// countOutcomes counts the troubles of another request at the relevant targets.
func (c *collector) countOutcomes(l Line) {
	for id, outcomes := range outcomesByTarget(l) {
		if c.overload && c.targets[id] == nil && slices.Contains(outcomes, outcomeRefused) {
			c.addTarget(id)
		}
		target, ok := c.targets[id]
		if !ok {
			continue
		}
		for _, outcome := range outcomes {
			target.Others[outcome]++
		}
		c.vmsByTarget[id][l.Node] = true
	}
}

func (c *collector) sortedTargets() []Target {
	slices.Sort(c.targetIDs)
	sortedTargets := make([]Target, 0, len(c.targetIDs))
	for _, id := range c.targetIDs {
		target := c.targets[id]
		target.VMs = len(c.vmsByTarget[id])
		sortedTargets = append(sortedTargets, *target)
	}
	return sortedTargets
}

// outcomesByTarget returns the outcomes of the sub-requests in the troubles field of a
// line, by target ID. An entry has the form
// "service/target reason +sent took outcome detail".
func outcomesByTarget(l Line) map[string][]string {
	const outcomeIndex = 4
	outcomes := make(map[string][]string)
	for entry := range strings.SplitSeq(l.Value(fieldTroubles), "; ") {
		words := strings.Fields(entry)
		if len(words) <= outcomeIndex {
			continue
		}
		if _, id, ok := strings.Cut(words[0], "/"); ok {
			outcomes[id] = append(outcomes[id], words[outcomeIndex])
		}
	}
	return outcomes
}
