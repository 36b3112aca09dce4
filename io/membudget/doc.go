// Package membudget bounds the memory that the responses of all backend servers take together while they are read.
//
// A limit for each response is not enough: a server that sends bytes without end takes as many times the limit as requests
// wait for it.
package membudget
