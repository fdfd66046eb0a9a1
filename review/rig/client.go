package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one attempt of a client.
type attempt struct {
	id, path, machine string
	sent, ended       time.Time
	// status is 0 if the connection ended without a complete answer.
	status int
	stamp  string
	err    error
}

// attempts collects what clients have sent and got.
type attempts struct {
	mu   sync.Mutex
	last int
	list []attempt
}

func (a *attempts) nextID(prefix string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	return fmt.Sprintf("%s%05d", prefix, a.last)
}

func (a *attempts) add(x attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *attempts) all() []attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]attempt(nil), a.list...)
}

// client is a client with one connection that it keeps.
type client struct {
	attempts *attempts
	machine  *machine
	conn     net.Conn
	reader   *bufio.Reader
	deadline time.Duration
	// onSend is called with the id of each request before it is sent, if set.
	onSend func(id string)
}

// send sends one request and waits for its answer. It opens a connection if none is kept.
func (c *client) send(method, path string) attempt {
	x := attempt{id: c.attempts.nextID("r"), path: path, machine: c.machine.name}
	defer func() {
		x.ended = time.Now()
		c.attempts.add(x)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.front(), time.Second)
		if err != nil {
			x.sent, x.err = time.Now(), err
			return x
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	body := "x=1\n"
	if method == http.MethodGet {
		body = ""
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, x.id, c.deadline.Milliseconds())
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if c.onSend != nil {
		c.onSend(x.id)
	}
	x.sent = time.Now()
	// The client waits a little longer for the final answer of the system.
	_ = c.conn.SetDeadline(x.sent.Add(c.deadline + 500*time.Millisecond))
	if _, x.err = io.WriteString(c.conn, text+"\r\n"+body); x.err != nil {
		c.close()
		return x
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		x.err = err
		c.close()
		return x
	}
	if _, x.err = io.ReadAll(response.Body); x.err != nil {
		c.close()
		return x
	}
	x.status, x.stamp = response.StatusCode, response.Header.Get("Server-Stamp")
	if response.Close {
		c.close()
	}
	return x
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
