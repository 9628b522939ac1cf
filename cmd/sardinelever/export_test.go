package main

// Main runs the program in the test binary, for script tests.
func Main() { main() }
