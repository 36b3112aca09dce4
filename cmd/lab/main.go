// Command lab runs the stand-ins and the experiments.
package main

import (
	"os"

	"bluebellflow/lab/cli"
	"bluebellflow/lab/embed"
	"bluebellflow/lab/experiment"
)

func main() {
	os.Exit(cli.Main(cli.WithNodes("bluebellflow", func() experiment.Fleet { return embed.New() })))
}
