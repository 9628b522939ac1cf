// Package mapper joins the configuration in force with the platform's list
// into one immutable map of services, pools and backend servers.
package mapper
