// Package testbed starts the outside world of a deployment in one process: platform, model runners and services.
package testbed
