package watcher

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

// Serve sends the records and their changes to a follower until the stream ends.
func (w *Watcher) Serve(_ linker.Hello, conn net.Conn) {
	w.setup()
	first := new(messenger.Subscribe)
	_ = conn.SetReadDeadline(time.Now().Add(openTimeout))
	if err := messenger.ReadMessage(bufio.NewReader(conn), first); err != nil {
		return
	}
	after, sequence := first.After, uint64(0)
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		m, last, changed := w.message(after, sequence)
		if last > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
			if err := messenger.WriteMessage(conn, m); err != nil {
				return
			}
			sequence = last
		}
		select {
		case <-changed:
		case <-t.C:
			if last == 0 {
				return // Nothing is known here; the follower needs another source.
			}
		}
	}
}

// message returns what a follower has not been sent yet; last is 0 before the
// store confirmed the records.
func (w *Watcher) message(after, sequence uint64) (m *messenger.Feed, last uint64, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, loaded := w.table.At()
	if !loaded || w.table.Confirmed().IsZero() {
		return nil, 0, w.changed // A stale first read is for this instance only.
	}
	records, last, full := w.table.Since(after, sequence)
	age := time.Since(w.table.Confirmed())
	if w.failing.Load() && !w.following(time.Now()) {
		age = max(age, stale)
	}
	m = &messenger.Feed{At: at, Age: int64(age), Full: full}
	for _, r := range records {
		m.Records = append(m.Records, &messenger.Record{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return m, last, w.changed
}

// following reports whether the records are those of the store without this
// instance reading it; w.mu is held.
func (w *Watcher) following(now time.Time) bool { return now.Sub(w.table.Confirmed()) < beat }

// follow takes the records of another instance until it is silent, has no
// contact to the store or another source comes first.
func (l *lane) follow(ctx context.Context, m registrar.Member) {
	w, start := l.Watcher, time.Now()
	err := l.read(ctx, m)
	if err == nil || ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	now, last := time.Now(), w.avoid[m.Name].delay
	if now.Sub(start) >= steady {
		last = 0
	}
	delay := min(max(leastAvoid, 2*last), mostAvoid)
	w.avoid[m.Name] = avoidance{now.Add(delay), delay}
	w.mu.Unlock()
	w.Log.Warn().Str("instance", m.Name).Err(err).Uint64("revision", w.At()).Msg("platform: records are no longer followed there")
}

func (l *lane) read(ctx context.Context, m registrar.Member) error {
	w := l.Watcher
	limited, cancel := context.WithTimeout(ctx, openTimeout)
	conn, err := w.Links.Open(limited, m.Peer, linker.FeedStream)
	cancel()
	if err != nil {
		return errors.Wrap(err, "feed")
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := messenger.WriteMessage(conn, &messenger.Subscribe{After: w.At()}); err != nil {
		return err
	}
	w.Log.Info().Str("instance", m.Name).Uint64("revision", w.At()).Msg("platform: records are followed there")
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		f := new(messenger.Feed)
		if err := messenger.ReadMessage(in, f); err != nil {
			return errors.Wrap(errSilent, err.Error())
		}
		if err := w.takeFeed(f); err != nil {
			return err
		}
		w.expire()
		if s, _ := l.source(time.Now()); s == nil || s.Name != m.Name {
			return nil
		}
	}
}

func (w *Watcher) takeFeed(f *messenger.Feed) error {
	age := time.Duration(f.Age)
	b := Batch{At: f.At, Records: make([]Record, 0, len(f.Records))}
	for _, r := range f.Records {
		b.Records = append(b.Records, Record{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	w.take(time.Now().Add(-age), true, func(now time.Time) []Record {
		if f.Full {
			return w.table.Load(now, b)
		}
		return w.table.Apply(now, b)
	})
	if age >= stale {
		return errStale
	}
	return nil
}
