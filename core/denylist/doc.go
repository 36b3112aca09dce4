// Package denylist refuses requests that crash the servers that run them.
//
// A crash is an attempt that broke off without a response at a server whose process ended shortly afterwards. Every node
// reports the crashes that it observes to all others. A request is identified by its content, because a caller that
// retries it gives it a new name.
package denylist
