package watcher

import (
	"maps"
	"slices"
)

// decodeEvacuations returns the evacuated availability zones by the orders in records,
// sorted. A malformed record has no effect, also not on the order that it replaces: that
// one ends when its record is deleted. The caller must hold w.updateMu.
func (w *Watcher) decodeEvacuations(records []Record) []string {
	current := make(map[string]string)
	for _, r := range records {
		zone, err := w.Decoder.DecodeEvacuation(r)
		w.logMalformed(r, err)
		if err != nil {
			zone = w.evacuations[r.Key]
		}
		if zone != "" {
			current[r.Key] = zone
		}
	}
	w.evacuations = current
	return slices.Compact(slices.Sorted(maps.Values(current)))
}

// isOrder reports whether r is an order of the operator, malformed ones included: they do
// not end the order that they replace.
func (w *Watcher) isOrder(r Record) bool {
	zone, err := w.Decoder.DecodeEvacuation(r)
	return zone != "" || err != nil
}

func (t *Table) isOrder(r Record) bool { return t.IsOrder != nil && t.IsOrder(r) }

// isKeptOrder reports whether r is an order that a restored store lacks.
func (t *Table) isKeptOrder(r Record) bool { return r.OutlivesCopy && !r.Deleted && t.isOrder(r) }
