// Package informerpb holds the messages between entry VMs, generated from
// informer.proto.
package informerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative informer.proto
