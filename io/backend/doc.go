// Package backend is the HTTP client for backend servers. It runs and cancels attempts, sends orders, and polls load reports
// and cache events.
package backend
