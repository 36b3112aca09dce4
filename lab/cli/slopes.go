package cli

import (
	"fmt"

	"bluebellflow/lab/scaling"
)

// slopesCommand measures how the cost of nodes grows with the size of the fleet.
type slopesCommand struct {
	Slope   []string `arg:"" optional:"" help:"What to vary: nodes, servers, workspaces, rate; whole is one run at the size expected in two years."`
	Seed    uint64   `help:"Seed of all random choices." default:"1"`
	Repeats int      `help:"Runs of each size; the shortest times are kept." default:"1"`
	JSON    bool     `help:"Write JSON instead of tables."`
}

// Run measures each slope and prints the results.
func (c *slopesCommand) Run(e *env) error {
	if len(c.Slope) == 0 {
		c.Slope = []string{"nodes", "servers", "workspaces", "rate", "whole"}
	}
	var all []scaling.Point
	for _, name := range c.Slope {
		sizes := scaling.Sizes(name)
		if sizes == nil {
			return fmt.Errorf("slopes: unknown slope %q, want nodes, servers, workspaces, rate or whole", name)
		}
		for _, s := range sizes {
			point := scaling.Measure(c.Seed, s, c.Repeats)
			if c.JSON {
				all = append(all, point)
			} else if err := scaling.WriteTable(e.out, []scaling.Point{point}); err != nil {
				return err
			}
		}
	}
	if c.JSON {
		return scaling.WriteJSON(e.out, all)
	}
	return nil
}
