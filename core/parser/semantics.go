package parser

import (
	"fmt"
	"time"

	"jackdawcart.org/core/validator"
)

const (
	// maxDeadline limits how long requests with an excessive deadline can occupy
	// target slots.
	maxDeadline    = 10 * time.Second
	maxConnectTime = 10 * time.Second
)

// semanticChecker collects violations of rules that the schema cannot express.
// Values that failed the schema are decoded as zero and not reported again.
type semanticChecker struct {
	source   *validator.Source
	doc      *Document
	problems validator.Problems
}

func checkSemantics(source *validator.Source, doc *Document) validator.Problems {
	c := &semanticChecker{source: source, doc: doc}
	if doc.Deleted {
		c.checkTombstone()
		return c.problems
	}
	c.checkSets()
	c.checkNamedSets()
	c.checkDeadline()
	return c.problems
}

func (c *semanticChecker) report(pointer, format string, args ...any) {
	c.problems = append(c.problems, c.source.Problem(pointer, fmt.Sprintf(format, args...)))
}

func (c *semanticChecker) checkTombstone() {
	const message = "is not allowed in a deleted service"
	if c.doc.Sets != nil {
		c.report("/sets", message)
	}
	if c.doc.Answering != (Answering{}) {
		c.report("/answering", message)
	}
	if c.doc.Team != "" {
		c.report("/team", message)
	}
}

func (c *semanticChecker) checkSets() {
	seen := make(map[string]bool)
	for i := range c.doc.Sets {
		set := &c.doc.Sets[i]
		pointer := fmt.Sprintf("/sets/%d", i)
		if set.Name != "" && seen[set.Name] {
			c.report(pointer+"/name", "another set has the name %q", set.Name)
		}
		seen[set.Name] = true
		c.checkTargets(pointer, set)
	}
}

func (c *semanticChecker) checkTargets(pointer string, set *Set) {
	names := make(map[string]bool)
	addresses := make(map[string]string)
	for i := range set.Targets {
		target := &set.Targets[i]
		at := fmt.Sprintf("%s/targets/%d", pointer, i)
		if target.Name != "" && names[target.Name] {
			c.report(at+"/name", "another target of the set has the name %q", target.Name)
		}
		names[target.Name] = true
		address := target.Address.String()
		if other, taken := addresses[address]; taken && target.Address.IsValid() {
			c.report(at+"/address", "target %q of the set has the same address", other)
		}
		addresses[address] = target.Name
		connectTime := time.Duration(target.ConnectTime)
		if connectTime < 0 || connectTime > maxConnectTime {
			c.report(at+"/connect-time", "is not between 0s and %s", maxConnectTime)
		}
	}
}

// checkNamedSets checks the set names in the answering section. Without a move,
// the lead set answers every caller, so a fallback to it or a mirror on it would
// only add load.
func (c *semanticChecker) checkNamedSets() {
	answering := &c.doc.Answering
	c.checkSetName("/answering/lead", answering.Lead)
	c.checkSetName("/answering/fallback", answering.Fallback)
	if answering.Move != nil {
		c.checkSetName("/answering/move/set", answering.Move.Set)
		if answering.Move.Set == answering.Lead {
			c.report("/answering/move/set", "must differ from the lead set")
		}
	}
	if answering.Mirror != nil {
		c.checkSetName("/answering/mirror/set", answering.Mirror.Set)
	}
	if answering.Move != nil || answering.Lead == "" {
		return
	}
	if answering.Fallback == answering.Lead {
		c.report("/answering/fallback", "must differ from the lead set")
	}
	if answering.Mirror != nil && answering.Mirror.Set == answering.Lead {
		c.report("/answering/mirror/set", "must differ from the lead set")
	}
}

func (c *semanticChecker) checkSetName(pointer, name string) {
	if name == "" {
		return
	}
	if _, ok := c.doc.Set(name); !ok {
		c.report(pointer, "no set has the name %q", name)
	}
}

func (c *semanticChecker) checkDeadline() {
	deadline := time.Duration(c.doc.Answering.Deadline)
	if deadline <= 0 || deadline > maxDeadline {
		c.report("/answering/deadline", "is not above 0s and at most %s", maxDeadline)
	}
}
