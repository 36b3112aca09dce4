// Package request runs the requests of callers on an entry node.
//
// A request passes its idempotency key lookup, the crash guard and admission, and then its stages in order, all under one
// deadline. Each stage runs as one or more attempts on backend servers. Every request gets exactly one final answer.
package request
