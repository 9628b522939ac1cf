// Package runner is one entry instance: it joins the filters of a call with
// what the instance knows of the platform and of the other instances.
package runner
