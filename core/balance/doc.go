// Package balance chooses the server for an attempt of a request, and learns from how attempts end.
package balance
