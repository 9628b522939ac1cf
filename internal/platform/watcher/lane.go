package watcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/placer"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/flow/sleeper"
)

// lane keeps one source in use. An instance has two, so that its records stay
// those of the store while one source is lost or cut off from the store.
type lane struct {
	*Watcher
	place int // 0 or 1.
}

func (l *lane) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for ctx.Err() == nil {
		l.expire()
		l.step(ctx)
	}
}

// step loads, watches or follows once.
func (l *lane) step(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	_, loaded := l.table.At()
	l.mu.Unlock()
	if !loaded && l.place == 0 && l.mayCall(now) {
		l.load(ctx, true)
		return
	}
	source, self := l.source(now)
	switch {
	case self && loaded:
		l.watch(ctx)
	case source != nil:
		l.follow(ctx, *source)
	default:
		sleeper.Sleep(ctx, idleStep)
	}
}

// mayCall reports whether the delay after a failed call to the store has passed.
func (w *Watcher) mayCall(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !now.Before(w.next)
}

// source returns the instance to follow, or self when this instance is to read
// the store. The sources of all lanes are the first members of the region in
// rendezvous order, those that failed lately left out; no two lanes use the same.
func (l *lane) source(now time.Time) (m *registrar.Member, self bool) {
	members := l.Fleet.Usable("", l.Region)
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(members)+1)
	for i := range members {
		n := members[i].Name
		if n != l.Name && !now.Before(l.avoid[n].until) {
			names = append(names, n)
		}
	}
	if !now.Before(l.next) {
		names = append(names, l.Name)
	}
	names = placer.RankNames("records", names)
	names = slices.DeleteFunc(names[:min(lanesCount, len(names))], func(n string) bool {
		return n == l.using[lanesCount-1-l.place]
	})
	if len(names) == 0 {
		l.using[l.place] = ""
		return nil, false
	}
	name := names[0]
	if slices.Contains(names, l.using[l.place]) {
		name = l.using[l.place]
	}
	l.using[l.place] = name
	if name == l.Name {
		return nil, true
	}
	for i := range members {
		if members[i].Name == name {
			return &members[i], false
		}
	}
	return nil, false
}
