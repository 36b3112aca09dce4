// Package canary shifts a pool's traffic from one version to another on evidence, and stops bad versions.
package canary
