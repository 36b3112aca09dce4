package cli

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"

	"bluebellflow/io/gateway"
	"bluebellflow/io/runtime"
)

const (
	// gatewayGCPercent is the percentage of garbage beside live memory: a gateway's live memory is small, and its peak
	// counts.
	gatewayGCPercent = 60
	// memoryLimitShare is the part of the memory limit that the collector aims to stay below.
	memoryLimitShare = 0.7
	megabyte         = 1 << 20
)

type gatewayCommand struct {
	File  string `arg:"" help:"Settings of this process: name, failure domain, region, addresses, store, bounds."`
	Level string `help:"Lowest level that is logged." enum:"debug,info,warn,error" default:"info"`
}

// Run serves until the node has stopped. Logs go to standard output.
func (c *gatewayCommand) Run(e *env) error {
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	cfg, memory, err := e.system.Gateway(c.File, source)
	if err != nil {
		return e.writeFindings(err)
	}
	level, err := log.ParseLevel(c.Level)
	if err != nil {
		return &exitError{ExitUsage, err}
	}
	output := runtime.NewBufferedWriter(e.streams.Out)
	defer output.Flush()
	cfg.Logger = log.NewWithOptions(output, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter, Level: level})
	if err := initSelf(&cfg.Self); err != nil {
		return err
	}
	debug.SetGCPercent(gatewayGCPercent)
	if memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory) * megabyte))
	}
	node, err := gateway.NewNode(cfg)
	if err != nil {
		return err
	}
	cfg.Logger.Info("start", "node", cfg.Self.Node, "incarnation", cfg.Self.Incarnation, "domain", cfg.Self.FailureDomain,
		"callers", addrText(cfg.Callers), "peers", addrText(cfg.Self.Addr))
	go logReloadRequests(cfg.Logger)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-ended:
		case <-e.streams.Signals():
			node.Stop()
		}
	}()
	err = node.Run()
	cfg.Logger.Info("exit", "error", err)
	return err
}

// logReloadRequests notes that the settings file has changed. All of them apply from the next start on; what changes while
// a gateway runs is read from the store.
func logReloadRequests(logger *log.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		logger.Info("reload", "result", "settings apply from the next start on")
	}
}
