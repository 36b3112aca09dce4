// Package system connects the command line to the settings, the decision logic and the demo.
package system
