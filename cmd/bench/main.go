// Command bench holds the simulated services, the load tool and the
// demonstration that runs the whole path as separate processes.
package main

func main() {}
