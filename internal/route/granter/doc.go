// Package granter acts as the home of pools: it counts the slots of their
// backend servers exactly, queues asks by rank and grants slots.
package granter
