// Package sendtrack reports whether any byte of a failed HTTP request may have left this process.
package sendtrack
