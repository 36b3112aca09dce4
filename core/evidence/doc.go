// Package evidence tests statistically, from the results of all nodes, whether a new version is worse than the one it replaces.
package evidence
