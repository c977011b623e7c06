// Command wisteriakeel routes model requests of client accounts to upstreams.
package main

func main() {}
