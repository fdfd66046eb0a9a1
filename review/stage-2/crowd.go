package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = playCrowd }

const (
	crowdShards = 36
	// crowdMemoryMB and crowdFDs are those of the smallest machines of the deployment.
	crowdMemoryMB, crowdFDs = 136, 2870
	// crowdClients is a tenth of the connections that the machine has descriptors for.
	crowdClients = 250
	// calmClients come without the disruption.
	calmClients = 5
	crowdTime   = 25 * time.Second
	// readDelay is how long a client of the crowd leaves its answer unread.
	readDelay = time.Second
)

// peakMemory returns the peak of the memory of a process in MB, as the kernel counts it.
func peakMemory(vm *VM) (float64, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.command.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb * 1024 / 1e6, err == nil
		}
	}
	return 0, false
}

// playCrowd lets a crowd of clients send small, complete queries over many shards to one
// machine at once, and read the answers late.
func playCrowd(s *Stage) {
	store := s.ServeStore(nil)
	names, services := make([]string, crowdShards), make([]any, crowdShards)
	for i := range names {
		names[i] = fmt.Sprintf("quote-desk-%d", i)
		service := Service(names[i])
		service["maxConnections"] = 121
		services[i] = service
	}
	route := PlainRoute("/rany330/", "idempotent", "", 2)
	delete(route, "service")
	route["gather"], route["topK"], route["minShardRatio"] = names, 20, 0.95
	route["timeoutMs"], route["targetLatencyMs"] = 1200, 120
	s.Configure(map[string]any{"version": 1, "routes": []any{route}, "services": services})
	s.quiet = true
	for i, name := range names {
		for k, zone := range Zones {
			s.StartBackend(&Backend{ID: fmt.Sprintf("i-%d-%d", i, k), Service: name, Zone: zone, Work: 7500 * time.Microsecond, Answer: writeRecords})
		}
	}
	vm := s.NewVM(0, Zones[0], store, fmt.Sprintf("limits.memoryMb=%d\nlimits.maxFds=%d\n", crowdMemoryMB, crowdFDs))
	vm.OneCore = true
	vm.Start()
	vm.WaitReady(10 * time.Second)
	time.Sleep(3 * time.Second)
	before, _ := peakMemory(vm)
	s.Note("peak memory before: %.0f MB of %d MB", before, crowdMemoryMB)
	clients, delay := crowdClients, readDelay
	if !s.Trouble {
		clients, delay = calmClients, 0
	}
	var sent, answered atomic.Int64
	var crowd sync.WaitGroup
	stop := time.Now().Add(crowdTime)
	for c := range clients {
		crowd.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				sent.Add(1)
				if askAndReadLate(vm, fmt.Sprintf("%08x%08x", c, n), delay) {
					answered.Add(1)
				}
			}
		})
	}
	peak := before
	for time.Now().Before(stop) && !vm.Ended() {
		time.Sleep(500 * time.Millisecond)
		if now, ok := peakMemory(vm); ok {
			peak = now
		}
		s.Note("peak memory: %.0f MB; %d requests sent, %d answered", peak, sent.Load(), answered.Load())
	}
	crowd.Wait()
	if vm.Ended() {
		s.Broken("Fault: the process ended under %d clients", clients)
	}
	if peak > crowdMemoryMB {
		s.Broken("Fault: the process took %.0f MB under %d clients, its machine has %d MB", peak, clients, crowdMemoryMB)
	}
}

// writeRecords writes a part of 25 records.
func writeRecords(x Exchange) error {
	body := strings.Repeat("0123456789abcdef", 25)
	_, err := fmt.Fprintf(x.Conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s",
		x.ID, x.Backend.Stamp(x.ID), len(body), body)
	return err
}

// askAndReadLate sends a query on a new connection and begins to read the answer after a
// delay. It reports whether there was one.
func askAndReadLate(vm *VM, id string, delay time.Duration) bool {
	conn, err := net.Dial("tcp", vm.Front())
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return false
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /rany330/2f HTTP/1.1\r\nHost: hufi27.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1200\r\n\r\n", id)
	time.Sleep(delay)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	n, _ := conn.Read(make([]byte, 4096))
	return n > 0
}
