// Package peerpb holds the frames that the system's own processes exchange,
// generated from peer.proto.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
