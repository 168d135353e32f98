// Command galenastair serves many models on fewer accelerators.
package main

func main() {}
