// Package demo runs both users' deployments in one process, with faults, and prints what became of the requests.
package demo
