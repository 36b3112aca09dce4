// Package system is the program's own build of settings, decision logic and demo behind the command line.
package system
