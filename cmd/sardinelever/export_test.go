package main

// Main lets script tests run the program in the test binary.
func Main() { main() }
