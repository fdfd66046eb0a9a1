// Package evaluator measures the query policy under load and faults in virtual
// time. It runs the production engines of several gateways and the production
// dispatchers of several relays against fake targets. Virtual time makes the
// results independent of the speed of the computer. Run must be called inside a
// testing/synctest bubble.
package evaluator
