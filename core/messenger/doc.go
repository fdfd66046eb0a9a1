// Package messenger carries protobuf frames between the system's own
// processes, on yamux sessions over mutually authenticated TLS.
package messenger
