// Package selfreport keeps what backend servers say of themselves in their responses.
//
// What a server said belongs to the process that said it, and ends with it.
package selfreport
