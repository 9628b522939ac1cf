// Package publisher is a stand-in for the platform in tests. It serves the
// configuration under /config, where instances read a revision or watch for the
// next one, and the list of instances and backend servers under /list. Tests can
// add errors, delays and outdated answers.
package publisher
