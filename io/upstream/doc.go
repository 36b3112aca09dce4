// Package upstream sends HTTP requests to backend servers and reports for each failed request whether it may have arrived.
//
// It replaces http.Transport, which does not tell what was written of a request that must not run twice, and does not skip
// a response that belongs to an earlier request on the connection.
package upstream
