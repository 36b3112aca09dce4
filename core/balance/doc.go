// Package balance chooses the server for each attempt of a request, from the latency, failures and load of past attempts.
package balance
