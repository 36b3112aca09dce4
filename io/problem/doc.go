// Package problem writes RFC 9457 problem documents.
package problem
