// Package quoterpb holds the messages about quotas between entry VMs, generated from
// quoter.proto.
package quoterpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative quoter.proto
