package comparer

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
)

// maxMetricsSize bounds the bytes that are read from a metrics endpoint.
const maxMetricsSize = 4 << 20

// usage is the resource usage of processes since their start.
type usage struct {
	// cpu is the CPU time in seconds.
	cpu float64
	// allocations is the number of heap objects allocated.
	allocations float64
}

func readUsage(ctx context.Context, admin []netip.AddrPort) (usage, error) {
	var total usage
	for _, addr := range admin {
		process, err := readProcessUsage(ctx, addr)
		if err != nil {
			return usage{}, err
		}
		total.cpu += process.cpu
		total.allocations += process.allocations
	}
	return total, nil
}

func readProcessUsage(ctx context.Context, addr netip.AddrPort) (usage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/metrics", nil)
	if err != nil {
		return usage{}, &Error{Op: "read-metrics", Kind: KindUnreachable, Err: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return usage{}, &Error{Op: "read-metrics", Kind: KindUnreachable, Err: err}
	}
	defer response.Body.Close()
	var u usage
	lines := bufio.NewScanner(io.LimitReader(response.Body, maxMetricsSize))
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		switch name {
		case "process_cpu_seconds_total":
			u.cpu, err = strconv.ParseFloat(value, 64)
		case "go_memstats_mallocs_total":
			u.allocations, err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return usage{}, &Error{Op: "read-metrics", Kind: KindMalformed, Err: err}
		}
	}
	if u.cpu == 0 {
		return usage{}, &Error{Op: "read-metrics", Kind: KindMalformed, Err: lines.Err()}
	}
	return u, nil
}
