// Command bench runs simulated upstreams and services, the demonstration of a complete deployment, the
// fault-injection soak test, and the measurement of resource usage.
package main

import "os"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
