// Package worker is a stand-in for a backend server in tests and trials. It
// has slots and a service time, sheds load, drains, reports its load and
// counts the runs of each call identity.
package worker
