// Package messenger exchanges protobuf frames between jackdawcart processes,
// over yamux sessions on mutually authenticated TLS connections.
package messenger
