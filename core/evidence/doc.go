// Package evidence judges from results of all nodes whether a new version is worse than the one that it replaces.
package evidence
