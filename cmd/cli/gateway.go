package cli

import (
	"runtime/debug"

	"github.com/charmbracelet/log"

	"bluebellflow/io/gateway"
	"bluebellflow/io/runtime"
)

const (
	// gatewayGCPercent is GOGC, the heap growth in percent of the live heap that triggers a collection. A gateway's live
	// heap is small, and its peak memory is what counts.
	gatewayGCPercent = 60
	// memoryLimitShare is the share of the memory limit that is set as the soft limit of the garbage collector.
	memoryLimitShare = 0.7
	megabyte         = 1 << 20
)

type gatewayCommand struct {
	File  string `arg:"" help:"Settings of this process: name, failure domain, region, addresses, store, bounds."`
	Level string `help:"Lowest level that is logged." enum:"debug,info,warn,error" default:"info"`
}

// Run serves requests until the node has stopped. Logs go to standard output.
func (c *gatewayCommand) Run(e *env) error {
	reloads := subscribeReloads()
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	cfg, memoryLimitMB, err := e.system.Gateway(c.File, source)
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
	setMemoryLimit(memoryLimitMB)
	signals := e.streams.Signals()
	node, err := gateway.NewNode(cfg)
	if err != nil {
		return err
	}
	cfg.Logger.Info("start", "node", cfg.Self.Node, "incarnation", cfg.Self.Incarnation, "domain", cfg.Self.FailureDomain,
		"callers", addrText(cfg.Callers), "peers", addrText(cfg.Self.Addr))
	ended := make(chan struct{})
	defer close(ended)
	go logReloads(cfg.Logger, reloads, ended, node.Reloaded)
	go func() {
		select {
		case <-ended:
		case <-signals:
			node.Stop()
		}
	}()
	err = node.Run()
	cfg.Logger.Info("exit", "error", err)
	return err
}

// setMemoryLimit sets the soft limit of the garbage collector from the memory of the VM, if it is known.
func setMemoryLimit(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB) * megabyte))
	}
}
