// Command galenastair-standin stands in for the platform, engines and services in tests.
package main

func main() {}
