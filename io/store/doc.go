// Package store is a client of the platform's object API, its watches and its VM list.
package store
