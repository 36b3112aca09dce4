// Command lab runs stand-ins for the platform and the back ends, and experiments on them.
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
