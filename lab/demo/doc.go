// Package demo runs the deployments of both users in one process, injects faults and prints the outcome of the requests.
package demo
