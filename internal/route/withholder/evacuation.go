package withholder

import (
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// Evacuation is the order of the operator that no request may reach a backend server of
// an availability zone.
type Evacuation struct {
	Zone  string
	Since time.Time // Time at which this instance learned of it.
}

// SetEvacuatedZones replaces the evacuated availability zones. It wakes those who wait for
// a change, and adds the start and the end of each evacuation to the audit trail.
func (w *Withholder) SetEvacuatedZones(now time.Time, zones []string) {
	w.mu.Lock()
	before := w.Evacuations()
	after := make([]Evacuation, len(zones))
	var started []string
	for i, zone := range zones {
		after[i] = Evacuation{zone, now}
		if j := findEvacuation(before, zone); j >= 0 {
			after[i] = before[j]
		} else {
			started = append(started, zone)
		}
	}
	var ended []Evacuation
	for _, e := range before {
		if findEvacuation(after, e.Zone) < 0 {
			ended = append(ended, e)
		}
	}
	w.evacuations.Store(&after)
	if len(started)+len(ended) > 0 {
		w.notify()
	}
	w.mu.Unlock()
	for _, zone := range started {
		w.Audit.RecordChange(auditor.Change{Time: now, Component: "route", Subject: "zone " + zone, Cause: "order of the operator", Before: "in use", After: "evacuated"})
	}
	for _, e := range ended {
		w.Audit.RecordChange(auditor.Change{
			Time: now, Component: "route", Subject: "zone " + e.Zone, Cause: "end of the operator's order after " + now.Sub(e.Since).Round(time.Millisecond).String(),
			Before: "evacuated", After: "in use",
		})
	}
}

// Evacuations returns the evacuations in force, which must not be modified.
func (w *Withholder) Evacuations() []Evacuation {
	if w == nil {
		return nil
	}
	if e := w.evacuations.Load(); e != nil {
		return *e
	}
	return nil
}

// IsEvacuated reports whether no request may reach a backend server of zone.
func (w *Withholder) IsEvacuated(zone string) bool { return findEvacuation(w.Evacuations(), zone) >= 0 }

// findEvacuation returns the index of the evacuation of zone in all, or -1.
func findEvacuation(all []Evacuation, zone string) int {
	return slices.IndexFunc(all, func(e Evacuation) bool { return e.Zone == zone })
}
