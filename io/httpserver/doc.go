// Package httpserver runs HTTP servers that stop without dropping a request.
//
// The method Shutdown of http.Server drops requests whose head is completed after its call: it closes their connections
// without a response. A Server of this package answers every request that it reads, until its connections are closed.
package httpserver
