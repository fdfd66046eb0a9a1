// Package costs benchmarks the processor time and memory that a gateway and a
// relay use for sub-requests, sessions, targets and tickets.
package costs
