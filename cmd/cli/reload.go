package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
)

// subscribeReloads subscribes to SIGHUP, which does not end the process from then on.
func subscribeReloads() <-chan os.Signal {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return reloads
}

// logReloads logs each SIGHUP, and calls a function, until the node has ended. Nothing is reloaded: the settings of a process take effect
// at its next start, and configuration that changes while a node runs comes from the store or from the operators' commands.
func logReloads(logger *log.Logger, reloads <-chan os.Signal, ended <-chan struct{}, noticed func()) {
	for {
		select {
		case <-ended:
			return
		case <-reloads:
			noticed()
			logger.Info("reload", "result", "settings apply from the next start on")
		}
	}
}
