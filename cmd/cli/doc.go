// Package cli holds the commands of the program bluebellflow.
package cli
