package withholder_test

import (
	"strconv"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

var start = time.Unix(1000, 0)

// tableOf returns a routing table that lists the lifetimes as ready.
func tableOf(lifetimes ...withholder.Lifetime) *router.RoutingTable {
	s := &router.Service{Service: &parser.Service{Name: "guidance"}}
	for _, l := range lifetimes {
		s.Servers = append(s.Servers, router.BackendServer{Name: l.Name, ProcessStart: l.ProcessStart})
	}
	return &router.RoutingTable{Services: map[string]*router.Service{"guidance": s}}
}

// isMarked reports whether w marks l as leaving in a table that lists it as ready.
func isMarked(w *withholder.Withholder, now time.Time, l withholder.Lifetime) bool {
	t := tableOf(l)
	w.MarkLeaving(now, t)
	return t.Services["guidance"].Servers[0].Leaving
}

// TestStatementOfOneLifetime guards against a statement that ends while its process is off
// the list, or that counts for another process of the same name.
func TestStatementOfOneLifetime(t *testing.T) {
	own, later := withholder.Lifetime{Name: "i-0", ProcessStart: 1}, withholder.Lifetime{Name: "i-0", ProcessStart: 2}
	var heard []withholder.Lifetime
	w := &withholder.Withholder{OnOwnLeaving: func(l withholder.Lifetime) { heard = append(heard, l) }}
	if !w.RecordLeaving(start, own, withholder.FromLate) || w.RecordLeaving(start, own, withholder.FromInstance("front-1")) {
		t.Error("got a change at the second statement, want one at the first")
	}
	w.RecordLeaving(start, withholder.Lifetime{Name: "i-9", ProcessStart: 1}, withholder.FromInstance("front-1"))
	if len(heard) != 1 || heard[0] != own {
		t.Errorf("got %v announced, want only what the server told this instance", heard)
	}
	now := start.Add(time.Hour)
	w.MarkLeaving(now, tableOf(later)) // The first process is not listed.
	if !isMarked(w, now, own) || !w.IsWithheld(now, own) {
		t.Error("a new listing ended the statement")
	}
	if isMarked(w, now, later) || w.IsWithheld(now, later) {
		t.Error("the statement counts for a later process")
	}
}

// TestUnknownStartEndsWithList guards against a server without a known process start that
// gets no calls for ever after its process was replaced.
func TestUnknownStartEndsWithList(t *testing.T) {
	l := withholder.Lifetime{Name: "i-0"}
	w := new(withholder.Withholder)
	w.RecordLeaving(start, l, withholder.FromRequest)
	if !isMarked(w, start.Add(time.Second), l) {
		t.Error("the statement ended while the server was listed")
	}
	w.MarkLeaving(start.Add(2*time.Second), tableOf(withholder.Lifetime{Name: "i-1"}))
	if isMarked(w, start.Add(3*time.Second), l) {
		t.Error("the statement counts after the server was off the list")
	}
}

// TestStatementsAreBounded guards against memory that grows with each server that leaves.
func TestStatementsAreBounded(t *testing.T) {
	w := new(withholder.Withholder)
	const count = 5000
	for i := range count {
		w.RecordLeaving(start.Add(time.Duration(i)), withholder.Lifetime{Name: strconv.Itoa(i), ProcessStart: 1}, withholder.FromRequest)
	}
	if got := len(w.LeavingLifetimes()); got >= count {
		t.Errorf("got %d statements, want fewer", got)
	}
	if !w.IsLeaving(withholder.Lifetime{Name: strconv.Itoa(count - 1), ProcessStart: 1}) {
		t.Error("the newest statement was dropped")
	}
	w.MarkLeaving(start.Add(48*time.Hour), tableOf())
	if got := w.LeavingLifetimes(); len(got) != 0 {
		t.Errorf("got %d statements of servers that have long been off the list, want 0", len(got))
	}
}
