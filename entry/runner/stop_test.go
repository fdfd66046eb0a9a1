package runner_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Requests that had just been accepted were cut off without an answer during a planned
// stop under load. On new connections and on kept ones, a request that was sent must be
// answered; a caller may only find the connection refused, or a kept one closed before it
// wrote.
func TestPlannedStopAnswersWhatItAccepted(t *testing.T) {
	const (
		serviceTime = 20 * time.Millisecond
		gap         = time.Millisecond
		kept        = 20
		length      = 1500 * time.Millisecond
	)
	fleet := newFleet(t, 1)
	for _, target := range fleet.running() {
		target.Set(0, serviceTime)
	}
	var mu sync.Mutex
	answered, cut := 0, make(map[string]int)
	count := func(kind string, err error) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil:
			answered++
		case errors.Is(err, errNotSent):
		default:
			cut[kind+": "+err.Error()]++
		}
	}
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for i := range kept {
		callers.Go(func() { count("kept connection", sendOnKeptConnection(fleet.vms[0].callers, i, end)) })
	}
	stopping := time.AfterFunc(length/4, func() { _ = fleet.vms[0].process.Signal(syscall.SIGTERM) })
	defer stopping.Stop()
	for i := 0; time.Now().Before(end); i++ {
		callers.Go(func() { count("new connection", sendOnNewConnection(fleet.vms[0].callers, i)) })
		time.Sleep(gap)
	}
	callers.Wait()
	t.Logf("%d requests answered", answered)
	for what, n := range cut {
		t.Errorf("%d requests without an answer on a %s", n, what)
	}
}

// errNotSent means that a request was not sent, so that its caller may try elsewhere.
var errNotSent = errors.New("not sent")

func sendOnNewConnection(address string, i int) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return errNotSent
	}
	defer conn.Close()
	_, err = exchange(conn, bufio.NewReader(conn), fmt.Sprint("new-", i))
	if errors.Is(err, syscall.ECONNRESET) {
		// The kernel resets connections that wait to be accepted when the port is closed.
		// A connection of which the VM has read a request ends without a reset.
		return errNotSent
	}
	return err
}

// sendOnKeptConnection sends requests one after the other until the VM ends the
// connection.
func sendOnKeptConnection(address string, i int, end time.Time) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return errNotSent
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for k := 0; time.Now().Before(end); k++ {
		closes, err := exchange(conn, r, fmt.Sprintf("kept-%d-%d", i, k))
		if err != nil || closes {
			return err
		}
	}
	return nil
}

// exchange sends a request and reads its answer.
func exchange(conn net.Conn, r *bufio.Reader, id string) (closes bool, err error) {
	return exchangeOn(conn, r, "GET /all/q", id)
}

// exchangeOn sends a request with a method and a path and reads its answer.
func exchangeOn(conn net.Conn, r *bufio.Reader, methodAndPath, id string) (closes bool, err error) {
	head := methodAndPath + " HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 1500\r\nRequest-Id: " + id + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return true, errNotSent
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return true, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.Close, err
}

// Requests that came late in a planned stop on kept connections were taken, run, and cut at
// the end of the grace period, also ones that must not run twice. Each must be answered, or
// not run at all.
func TestLateRequestsOfPlannedStopAreAnswered(t *testing.T) {
	const (
		grace = time.Second
		run   = grace * 35 / 100
	)
	fleet := newFleet(t, 1)
	for _, target := range fleet.running() {
		target.Set(0, run)
	}
	endpoints := []string{"GET /all/q", "POST /once/q", "GET /often/q"}
	type kept struct {
		conn net.Conn
		r    *bufio.Reader
	}
	conns := make([]kept, 30)
	var opening sync.WaitGroup
	for i := range conns {
		opening.Go(func() {
			conn, err := net.Dial("tcp", fleet.vms[0].callers)
			if err != nil {
				t.Error(err)
				return
			}
			conns[i] = kept{conn, bufio.NewReader(conn)}
			if _, err := exchangeOn(conn, conns[i].r, endpoints[i%3], fmt.Sprint("before-", i)); err != nil {
				t.Error(err)
			}
		})
	}
	opening.Wait()
	if t.Failed() {
		return
	}
	stopped := time.Now()
	_ = fleet.vms[0].process.Signal(syscall.SIGTERM)
	time.AfterFunc(grace/10, func() { _ = fleet.vms[0].process.Signal(syscall.SIGTERM) })
	var callers sync.WaitGroup
	for i, k := range conns {
		callers.Go(func() {
			defer k.conn.Close()
			share := 0.2 + 0.65*float64(i)/float64(len(conns))
			time.Sleep(time.Until(stopped.Add(time.Duration(share * float64(grace)))))
			id := fmt.Sprint("late-", i)
			if _, err := exchangeOn(k.conn, k.r, endpoints[i%3], id); err != nil && fleet.ran(id) {
				t.Errorf("%s, sent %.2f of the grace period after the stop, has run and got no answer: %v", endpoints[i%3], share, err)
			}
		})
	}
	callers.Wait()
	if err := fleet.vms[0].wait(); err != nil || time.Since(stopped) > grace {
		t.Errorf("the process ended %v after the signal: %v", time.Since(stopped), err)
	}
}
