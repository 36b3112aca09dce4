// Command bluebellflow runs a node and the operators' commands.
package main

func main() {}
