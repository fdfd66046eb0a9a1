// Package claimer runs a non-idempotent request that carries only an
// idempotency key at most once, by claiming the key in the platform's store
// with compare-and-swap.
//
// A claim is never taken over by another process, and its final state, done or
// not run, never changes. If the answer to a claim's Put is lost, the claimer
// reads the key and compares the unique claim identifier; it never claims again.
// A claim that may have been written but was not confirmed is never run: it is
// settled as not run as soon as the store can be reached.
//
// Store calls: a request with a new key needs one Put in Begin and one in
// Finish. A request with a repeated key needs one Put and one Get, or none in
// the process that still has the key open. A lost answer adds one Get. Settle
// makes one Get and at most one Put for each key that is not settled.
//
// The package starts no goroutine, and does I/O only through the given Store.
package claimer
