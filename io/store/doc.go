// Package store is the client of the platform: object API, watches and VM list.
package store
