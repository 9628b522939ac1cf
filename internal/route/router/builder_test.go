package router_test

import (
	"reflect"
	"testing"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/router"
)

// TestTableBuilder guards against a table that has servers, rules or services of an earlier one
// of the same builder, or that changes when a later one is built.
func TestTableBuilder(t *testing.T) {
	newBundle := func(version uint64, services ...string) *parser.Bundle {
		b := &parser.Bundle{Version: version}
		for _, name := range services {
			b.Services = append(b.Services, parser.Service{Name: name, Slots: int(version), Hosts: []string{name + ".example"}})
			b.Rules = append(b.Rules, parser.Rule{Host: "h", Path: "/" + name + "/", Parts: []parser.Part{{Service: name, Weight: 1}}})
		}
		return b
	}
	newList := func(names ...string) *reader.List {
		l := new(reader.List)
		for _, name := range names {
			l.Entries = append(l.Entries, reader.Entry{Name: name, Service: name[:1]})
		}
		return l
	}
	first, second := newBundle(1, "a", "b"), newBundle(2, "b", "c")
	var builder router.TableBuilder
	var got, want []*router.RoutingTable
	for _, step := range []struct {
		bundle *parser.Bundle
		list   *reader.List
	}{{first, newList("a1", "b1")}, {first, newList("a2")}, {first, nil}, {nil, newList("a1")}, {second, newList("a1", "b1", "c1")}, {first, newList("b1")}, {second, newList("c2")}} {
		got = append(got, builder.Build(step.bundle, step.list))
		want = append(want, router.NewRoutingTable(step.bundle, step.list))
	}
	for i := range got {
		if !reflect.DeepEqual(got[i], want[i]) {
			t.Errorf("table %d: got %+v, want %+v", i, got[i], want[i])
		}
	}
}
