// Command lab runs the stand-ins and the experiments.
package main

import (
	"os"

	"bluebellflow/lab/cli"
)

func main() { os.Exit(cli.Main()) }
