// Package sendtrack tells whether an HTTP request may have left this process before it failed.
package sendtrack
