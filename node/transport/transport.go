// Package transport holds what servers and clients between the system's own processes agree on.
package transport

import "net/http"

// ServerProtocols returns HTTP/1.1 and unencrypted HTTP/2: each internal listener serves both.
func ServerProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// CompactProtocols returns unencrypted HTTP/2 alone, whose header compression suits small messages that repeat.
func CompactProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}
