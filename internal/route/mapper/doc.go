// Package mapper joins the configuration in force with the platform's list
// into one immutable map of services and their backend servers.
package mapper
