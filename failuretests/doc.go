// Package failuretests holds tests that run the programs as separate
// processes, provoke the failures of docs/design.md and check the guarantees
// from the outside.
package failuretests
