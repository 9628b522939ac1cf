// Command lab3 runs the scenarios of the third review.
package main

import (
	"fmt"
	"os"
)

// config is the operator's configuration with the given routes and services.
func config(version int, routes, services map[string]any) map[string]any {
	return map[string]any{
		"Version": fmt.Sprintf("r%d", version), "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	}
}

func route(host, prefix, kind, service, timeout string, priority int) map[string]any {
	return map[string]any{"Hostname": host, "Prefix": prefix, "RouteType": kind, "Timeout": timeout, "TargetLatency": "400ms", "Priority": priority, "Service": service, "MaxAttempts": 2}
}

func service() map[string]any {
	return map[string]any{"HealthPath": "/healthz", "MaxConnections": 260, "Protocol": "h1", "Tls": false}
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "lab3 SCENARIO RECORD")
		os.Exit(failed)
	}
	dir, err := os.MkdirTemp("", "lab3")
	check(err)
	workDir = dir
	stopOnSignal()
	code := failed
	switch os.Args[1] {
	case "trailers":
		code = trailers(dir, os.Args[2])
	case "stalled":
		code = stalled(dir, os.Args[2])
	case "paths":
		code = paths(dir, os.Args[2])
	case "changes":
		code = changes(dir, os.Args[2])
	case "prefixes":
		code = prefixes(dir, os.Args[2])
	case "hints":
		code = hints(dir, os.Args[2])
	case "oldanswers":
		code = oldAnswers(dir, os.Args[2])
	case "settings":
		code = settings(dir, os.Args[2])
	case "foreign":
		code = foreign(dir, os.Args[2])
	}
	endAll()
	if os.Getenv("KEEP") != "" {
		fmt.Println(dir)
	}
	os.Exit(code)
}
