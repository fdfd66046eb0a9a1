package investigator

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Spans of time around a request that its story covers.
const (
	// before is how long before its end the VM's change of belief may matter: the
	// longest time for which a target is set aside, and some more.
	before = 10 * time.Second
	// beside is how far other requests may lie from it to tell whether a target
	// was slow for all.
	beside = time.Second
)

// Story is what the logs say about one request.
type Story struct {
	// Request is the line in which it ended or was refused.
	Request Line
	// Beliefs are the changes of what its VM believed shortly before, of the store,
	// the configuration and the targets in its troubles.
	Beliefs []Line
	// Targets says for each target in its troubles how other requests fared there.
	Targets []Target
	// Unreadable is the number of lines that are not of an entry VM's log.
	Unreadable int
}

// Target is a target in the troubles of a request.
type Target struct {
	ID string
	// Others counts the troubles that other requests had there at the same time,
	// by how they ended, and VMs the VMs that had them.
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

// Opener opens the logs for one reading.
type Opener func() (io.ReadCloser, error)

// Find returns the story of a request. It reads the logs twice, as the VM and the
// targets of the request are not known before its line.
func Find(logs Opener, request string) (Story, error) {
	var story Story
	var err error
	story.Unreadable, err = scan(logs, func(l Line) {
		if (l.Message == messageEnded || l.Message == messageRefused) && l.Value(fieldRequest) == request {
			story.Request = l
		}
	})
	if err != nil {
		return Story{}, err
	}
	if story.Request.At.IsZero() {
		return Story{}, &Error{Op: "find", Kind: KindNotFound, Err: fmt.Errorf("no line says how request %q ended", request)}
	}
	c := newCollector(story.Request)
	if _, err := scan(logs, c.visit); err != nil {
		return Story{}, err
	}
	story.Beliefs, story.Targets = c.beliefs, c.list()
	return story, nil
}

func scan(logs Opener, visit func(Line)) (unreadable int, err error) {
	r, err := logs()
	if err != nil {
		return 0, &Error{Op: "open", Kind: KindUnreadable, Err: err}
	}
	// Nothing is lost by the closing of what was only read.
	defer func() { _ = r.Close() }()
	unreadable, err = read(r, visit)
	if err != nil {
		return 0, &Error{Op: "read", Kind: KindUnreadable, Err: err}
	}
	return unreadable, nil
}

// collector gathers the lines around a request.
type collector struct {
	request Line
	order   []string
	targets map[string]*Target
	vms     map[string]map[string]bool
	beliefs []Line
}

func newCollector(request Line) *collector {
	c := &collector{request: request, targets: make(map[string]*Target), vms: make(map[string]map[string]bool)}
	for id := range troubles(request) {
		c.order = append(c.order, id)
		c.targets[id] = &Target{ID: id, Others: make(map[string]int)}
		c.vms[id] = make(map[string]bool)
	}
	slices.Sort(c.order)
	return c
}

func (c *collector) visit(l Line) {
	switch {
	case l.Message == messageEnded:
		if l.Value(fieldRequest) != c.request.Value(fieldRequest) && l.At.Sub(c.request.At).Abs() <= beside {
			c.compare(l)
		}
	case l.Node != c.request.Node || l.At.After(c.request.At) || c.request.At.Sub(l.At) > before:
	case c.concerns(l):
		c.beliefs = append(c.beliefs, l)
	}
}

// concerns reports whether a change of belief may matter to the request.
func (c *collector) concerns(l Line) bool {
	if target := l.Value(fieldTarget); target != "" {
		return c.targets[target] != nil
	}
	return l.Message != messageRefused
}

// compare takes the troubles of another request at the same targets.
func (c *collector) compare(l Line) {
	for id, outcomes := range troubles(l) {
		target, ok := c.targets[id]
		if !ok {
			continue
		}
		for _, outcome := range outcomes {
			target.Others[outcome]++
		}
		c.vms[id][l.Node] = true
	}
}

func (c *collector) list() []Target {
	list := make([]Target, 0, len(c.order))
	for _, id := range c.order {
		target := c.targets[id]
		target.VMs = len(c.vms[id])
		list = append(list, *target)
	}
	return list
}

// troubles returns how the sub-requests in the troubles of a request ended, by
// target. An entry reads "service/target reason +sent took outcome detail".
func troubles(l Line) map[string][]string {
	const outcomeAt = 4
	outcomes := make(map[string][]string)
	for entry := range strings.SplitSeq(l.Value(fieldTrouble), "; ") {
		words := strings.Fields(entry)
		if len(words) <= outcomeAt {
			continue
		}
		if _, id, ok := strings.Cut(words[0], "/"); ok {
			outcomes[id] = append(outcomes[id], words[outcomeAt])
		}
	}
	return outcomes
}
