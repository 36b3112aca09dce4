// Package lab holds no code; its packages are stand-ins for outside systems and the experiment tool.
package lab
