// Package upstream sends HTTP requests to backend servers and reports for each failed request whether it may have arrived.
//
// It replaces http.Transport, which does not report whether any part of a request was written, as at-most-once requests
// need, and does not skip a response that belongs to an earlier request on the connection.
package upstream
