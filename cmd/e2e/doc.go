// Package e2e holds the tests that run the built programs as separate processes against the stand-ins of the lab.
package e2e
