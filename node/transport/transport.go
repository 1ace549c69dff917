// Package transport has the HTTP protocol settings shared by servers and clients within the system.
package transport

import "net/http"

// ServerProtocols returns HTTP/1.1 and unencrypted HTTP/2, which every internal listener serves.
func ServerProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// CompactProtocols returns unencrypted HTTP/2 only. Its header compression reduces the size of small, frequent messages.
func CompactProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}
