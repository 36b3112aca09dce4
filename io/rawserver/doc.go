// Package rawserver accepts connections for tests of servers that send something other than well-formed answers.
package rawserver
