// Package evaluator measures the query policy under load and faults on virtual
// time. It runs the real engines of several gateways and the real dispatchers
// of several relays against fake targets, so a figure never depends on the
// speed of the machine. Run must be called inside a testing/synctest bubble.
package evaluator
