// Package scenarist holds the scenarios of the measuring program: each starts
// a deployment, drives calls, causes failures and compares what it measured
// with the bounds that the requirements set.
package scenarist
