package client

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// Limits of connections.
const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	maxIdleConns    = 512
	maxConnsPerHost = 1024
)

// newTransport returns a transport for many concurrent requests to few hosts.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     maxConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// baseURL returns address as a URL without a trailing slash. For host:port the scheme is http.
func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}
