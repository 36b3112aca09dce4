// Command lab runs the stand-ins and the experiments.
package main

func main() {}
