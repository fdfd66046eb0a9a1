// Package costs measures what a sub-request costs on its way through a gateway
// and a relay; it holds benchmarks only.
package costs
