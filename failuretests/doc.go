// Package failuretests runs the programs as separate processes, injects the
// failures described in docs/design.md and checks the guarantees as callers and
// operators observe them.
package failuretests
