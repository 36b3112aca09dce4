// Package id holds the identities that all packages share.
package id
