// Package id defines the identifier types that all packages share.
package id
