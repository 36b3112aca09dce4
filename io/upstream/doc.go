// Package upstream sends HTTP requests to backend servers and knows of each failed one whether it may have arrived.
//
// It exists beside the standard library's transport because a request that must not run twice needs to know what was
// written, and because an answer that belongs to an earlier request on a connection has to be skipped.
package upstream
