package bench

import (
	"net"
	"net/url"
	"strings"

	"flamingohall.example/core/fault"
)

// loopbackURLs returns addresses (host:port or URLs) as base URLs. An address that is no loopback IP address is an error.
func loopbackURLs(addresses []string) ([]string, error) {
	urls := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		parsed, err := url.Parse(address)
		if err != nil {
			return nil, fault.New(fault.Malformed, "write addresses as host:port", "%v", err)
		}
		if ip := net.ParseIP(parsed.Hostname()); ip == nil || !ip.IsLoopback() {
			return nil, fault.New(fault.Malformed, "run the processes on this machine and name their loopback addresses",
				"bench sends to loopback addresses only, not to %s", parsed.Host)
		}
		urls = append(urls, strings.TrimRight(address, "/"))
	}
	return urls, nil
}
