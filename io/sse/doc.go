// Package sse reads and writes server-sent events.
package sse
