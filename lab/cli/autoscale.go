package cli

import (
	"fmt"
	"slices"

	"bluebellflow/lab/scalesim"
)

// autoscaleCommand runs the autoscaling under load patterns.
type autoscaleCommand struct {
	Pattern []string `arg:"" optional:"" help:"Load patterns to run, such as step, wave, burst, loss and outage; all by default."`
	Seed    uint64   `help:"Seed of all random choices." default:"1"`
}

// Run runs the patterns and prints the orders and results.
func (c *autoscaleCommand) Run(e *env) error {
	var results []scalesim.Result
	for _, p := range scalesim.Patterns() {
		if len(c.Pattern) == 0 || slices.Contains(c.Pattern, p.Name) {
			results = append(results, scalesim.Run(c.Seed, p))
		}
	}
	if len(results) < len(c.Pattern) {
		return fmt.Errorf("autoscale: %d of the patterns %q are known", len(results), c.Pattern)
	}
	return scalesim.Write(e.out, results)
}
