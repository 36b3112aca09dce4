// Package route chooses the backend server for each attempt.
//
// It compares a sample of fixed size and a few servers that may have the prompt's prefix cached, so that the cost of a
// placement does not grow with the number of servers. Cold servers get attempts only under permits of package permit.
package route
