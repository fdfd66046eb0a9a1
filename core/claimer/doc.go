// Package claimer lets a non-idempotent request that carries only an
// idempotency key run at most once, by claiming the key in the platform's
// store with compare-and-swap.
//
// A key is claimed once and for all: no process takes over a claim, and the
// end of a claim, done or not run, is final. A lost answer of the claim is
// resolved by reading back its unique identifier, never by claiming again. A
// claim that may have been written but was not confirmed is never run; it is
// settled as not run when the store can be reached.
//
// Store calls of a request: a new key costs one Put in Begin and one in
// Finish. A repeated key costs one Put and one Get, or none in the process that
// still has the key open. A lost answer costs one Get more. Each round of
// Settle costs one Get and at most one Put for each key that is not settled.
//
// The package starts no goroutine; its only I/O is the Store that it is given.
package claimer
