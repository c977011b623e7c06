// Command bench holds the simulated services, the demonstration that runs the
// whole path as separate processes, and the measurement of its costs.
package main

import "os"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
