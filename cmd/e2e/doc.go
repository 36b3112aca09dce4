// Package e2e contains tests that run the built programs as separate processes against the stand-ins of the lab.
package e2e
