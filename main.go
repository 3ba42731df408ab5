// Command jacinthwind manages the capacity and maintenance of a fleet of VMs.
package main

import (
	"os"

	"jacinthwind/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
