// Package cli implements the commands of the lab program.
package cli
