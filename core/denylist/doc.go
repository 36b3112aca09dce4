// Package denylist refuses requests that crash the servers which run them.
//
// A crash is an attempt that broke off without an answer at a server whose process then turned out to have ended. Every
// node tells all others of the crashes that it saw; a request is known by its content, because its caller sends it again
// under another name.
package denylist
