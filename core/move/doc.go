// Package move is the rollout of a new version of a pool; no rollout is decided yet.
package move
