package watcher_test

import (
	"fmt"
	"testing"

	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// zonedMembers returns n members in five zones, the first three of each zone with five
// times the capacity of the others.
func zonedMembers(n int) []registrar.Member {
	out := make([]registrar.Member, n)
	for i := range out {
		out[i] = registrar.Member{Name: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%5), Region: "r", Capacity: 0.16}
		if i < 15 {
			out[i].Capacity = 0.8
		}
	}
	return out
}

// sourcesOf returns the two sources of each member by name.
func sourcesOf(members []registrar.Member, avoid func(string) bool) map[string][]string {
	out := make(map[string][]string)
	for _, m := range members {
		s := watcher.Sources{Self: m, Members: members}
		names := s.Candidates(avoid)
		out[m.Name] = names[:min(2, len(names))]
	}
	return out
}

// sourceTree counts the feeds of a fleet in which nothing fails.
type sourceTree struct {
	members   map[string]registrar.Member
	sources   map[string][]string
	followers map[string]int
	crossings int // Feeds between zones.
	readers   int // Instances that read the store.
}

func newSourceTree(n int) *sourceTree {
	members := zonedMembers(n)
	tree := &sourceTree{members: make(map[string]registrar.Member), sources: sourcesOf(members, func(string) bool { return false }), followers: make(map[string]int)}
	for _, m := range members {
		tree.members[m.Name] = m
	}
	for name, sources := range tree.sources {
		for _, s := range sources {
			tree.addFeed(name, s)
		}
	}
	return tree
}

func (s *sourceTree) addFeed(follower, source string) {
	if source == follower {
		s.readers++
		return
	}
	s.followers[source]++
	if s.members[source].Zone != s.members[follower].Zone {
		s.crossings++
	}
}

// TestSourceTree guards against a change that reaches a zone from outside once for each
// of its instances, against an instance that serves more than those of its zone or that
// is weak, and against one without two sources or more than three hops from the store.
func TestSourceTree(t *testing.T) {
	for _, n := range []int{16, 107, 312, 1202} {
		tree := newSourceTree(n)
		for name, sources := range tree.sources {
			if hops := hopsToStore(tree.sources, name, 0); len(sources) != 2 || hops > 3 {
				t.Errorf("%d members: got %d sources of %s and %d hops to the store, want 2 and at most 3", n, len(sources), name, hops)
			}
		}
		if tree.readers != 2 {
			t.Errorf("%d members: got %d readers of the store, want 2", n, tree.readers)
		}
		if n > 100 && tree.crossings > 60 {
			t.Errorf("%d members: got %d feeds between zones, want at most 60", n, tree.crossings)
		}
		for name, count := range tree.followers {
			if c := tree.members[name].Capacity; c < 0.8 || n > 100 && count > n/5+30 {
				t.Errorf("%d members: got %d followers of %s with capacity %v, want at most those of its zone, and a capacity of 0.8", n, count, name, c)
			}
		}
	}
}

// hopsToStore returns the length of the shortest path from name to the store.
func hopsToStore(sources map[string][]string, name string, depth int) int {
	if depth > 5 {
		return depth
	}
	least := 10
	for _, s := range sources[name] {
		if s == name {
			return 1
		}
		least = min(least, 1+hopsToStore(sources, s, depth+1))
	}
	return least
}

// TestSourcesWithoutRelays guards against instances that have no source while those that
// read the store and the relays of all zones are avoided.
func TestSourcesWithoutRelays(t *testing.T) {
	members := zonedMembers(312)
	avoided := make(map[string]bool)
	for round := range 4 {
		sources := sourcesOf(members, func(n string) bool { return avoided[n] })
		for _, m := range members {
			if len(sources[m.Name]) != 2 {
				t.Fatalf("round %d: got %d sources of %s, want 2", round, len(sources[m.Name]), m.Name)
			}
		}
		for _, names := range sources {
			avoided[names[0]], avoided[names[1]] = true, true
		}
	}
}
