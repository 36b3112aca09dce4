// Package httpclient says what an HTTP/1 response is, for all clients of the product.
//
// The package net/http accepts more than a gateway may pass on. A Conn tells the end of a response from a reset, which net/http's
// own connections do not while a request is being written.
package httpclient
