// Package route chooses the backend server for each attempt.
//
// It compares a fixed-size sample of servers and a few servers that may have the prompt's prefix cached, so that the
// cost of a decision does not grow with the fleet. Cold servers get attempts only under permits of package permit.
package route
