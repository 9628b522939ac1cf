// Package parser reads the TOML files of the system: the settings of an
// instance, the service files of operators and the bundles made of them.
// It checks them strictly and reports every mistake with file, line and key.
package parser
