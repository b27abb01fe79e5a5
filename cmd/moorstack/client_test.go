package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func jobRequest(id, class, timeout, body string) string {
	return fmt.Sprintf("POST /api?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\n"+
		"X-Priority-Class: %s\r\nX-Tenant-Id: muscat\r\nX-Timeout: %s\r\nIdempotency-Key: key-%s\r\n"+
		"X-Cost: 1000\r\nX-Attrs: slots=1\r\nContent-Length: %d\r\n\r\n%s",
		id, class, timeout, id, len(body), body)
}

// client is a raw connection to the node.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	c, err := net.Dial("tcp", addr)
	check(t, err)
	t.Cleanup(func() { c.Close() })
	check(t, c.SetDeadline(time.Now().Add(6*waitLimit)))
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) *client {
	_, err := io.WriteString(c, text)
	check(c.t, err)
	return c
}

// readResponse reads one response and its body.
func (c *client) readResponse() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	check(c.t, err)
	body, err := io.ReadAll(resp.Body)
	check(c.t, err)
	return resp, string(body)
}

func (c *client) expectResponse(status int, body string) *http.Response {
	c.t.Helper()
	resp, got := c.readResponse()
	if resp.StatusCode != status || body != "" && got != body {
		c.t.Fatalf("response %d %q, want %d %q", resp.StatusCode, got, status, body)
	}
	return resp
}
