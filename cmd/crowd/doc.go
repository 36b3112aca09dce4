// Package crowd contains tests that send callers outside the limits to the built programs, and check that each process
// stays alive and within the memory and the descriptors of its VM.
package crowd
