// Package cli holds the commands of the lab program.
package cli
