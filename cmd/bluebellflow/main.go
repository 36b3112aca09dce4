// Command bluebellflow runs a node and the operators' commands.
package main

import (
	"os"

	"bluebellflow/cmd/cli"
	"bluebellflow/cmd/system"
)

func main() { os.Exit(cli.Main(os.Args[1:], cli.StandardStreams(), system.System{})) }
