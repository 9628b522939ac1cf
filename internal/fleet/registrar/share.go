package registrar

import "time"

// HeardShare estimates the share of the known instances that this one can reach now. The
// neighbours stand for the members that are not suspected, and the members that are
// suspected or gone cannot be reached. An instance that hears no neighbour reaches only
// itself.
func (t *Table) HeardShare(now time.Time, within time.Duration) float64 {
	t.init()
	known, silent, neighbours, heard := 0, 0, 0, 0
	for _, e := range t.entries {
		if e.announcedLeaving || e.listedLeaving {
			continue
		}
		known++
		if e.silent {
			silent++
		}
		if e.awaitedSince.IsZero() {
			continue
		}
		neighbours++
		if now.Sub(e.lastDirect) <= within {
			heard++
		}
	}
	switch {
	case known <= 1:
		return 1
	case heard == 0:
		return 1 / float64(known)
	}
	return float64(heard) / float64(neighbours) * float64(known-silent) / float64(known)
}

// HeardShare returns Table.HeardShare of this instance's table.
func (r *Registrar) HeardShare(within time.Duration) float64 {
	r.initOnce.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.HeardShare(r.Clock(), within)
}
