// Package httpserver runs HTTP servers that stop without dropping a request.
//
// The method Shutdown of http.Server drops requests whose head is completed after its call: it closes their connections
// without a response. A Server of this package answers every request that it reads, until its connections are closed. The method
// SetKeepAlivesEnabled closes connections as idle on which a request is being read, because net/http reports them as active only when
// the head is complete. A Server closes a connection as idle only if no byte of a request has arrived, and handles no request that it
// reads after that.
package httpserver
