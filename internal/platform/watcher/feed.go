package watcher

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

func formatRevision(r uint64) string { return strconv.FormatUint(r, 10) }

// Serve sends the records and their changes to a follower until the stream ends.
func (w *Watcher) Serve(_ linker.Hello, conn net.Conn) {
	w.setup()
	first := new(messenger.Subscribe)
	_ = conn.SetReadDeadline(time.Now().Add(openTimeout))
	if err := messenger.Read(bufio.NewReader(conn), first); err != nil {
		return
	}
	after, sequence := first.After, uint64(0)
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		w.asked.Store(time.Now().UnixNano())
		m, last, changed := w.message(after, sequence)
		if last > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
			if err := messenger.Write(conn, m); err != nil {
				return
			}
			sequence = last
		}
		select {
		case <-changed:
		case <-t.C:
		}
	}
}

// message returns what a follower has not been sent yet; last is 0 before the
// first load.
func (w *Watcher) message(after, sequence uint64) (m *messenger.Feed, last uint64, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, loaded := w.table.At()
	if !loaded {
		return nil, 0, w.changed
	}
	records, last, full := w.table.Since(after, sequence)
	m = &messenger.Feed{At: at, Age: int64(time.Since(w.table.Confirmed())), Full: full}
	for _, r := range records {
		m.Records = append(m.Records, &messenger.Record{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return m, last, w.changed
}

// follow takes the records of another instance until it is silent, has no
// contact to the store or another source comes first.
func (w *Watcher) follow(ctx context.Context, m registrar.Member) {
	err := w.read(ctx, m)
	if err == nil || ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	w.avoid[m.Name] = time.Now().Add(avoidTime)
	w.mu.Unlock()
	w.Log.Warn().Str("instance", m.Name).Err(err).Uint64("revision", w.At()).Msg("platform: records are no longer followed there")
}

func (w *Watcher) read(ctx context.Context, m registrar.Member) error {
	limited, cancel := context.WithTimeout(ctx, openTimeout)
	conn, err := w.Links.Open(limited, m.Peer, linker.Feed)
	cancel()
	if err != nil {
		return errors.Wrap(err, "feed")
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := messenger.Write(conn, &messenger.Subscribe{After: w.At()}); err != nil {
		return err
	}
	w.Log.Info().Str("instance", m.Name).Uint64("revision", w.At()).Msg("platform: records are followed there")
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		f := new(messenger.Feed)
		if err := messenger.Read(in, f); err != nil {
			return errors.Wrap(errSilent, err.Error())
		}
		if err := w.takeFeed(f); err != nil {
			return err
		}
		w.expire()
		if s := w.source(time.Now()); !w.stays(s, m) {
			return nil
		}
	}
}

// stays reports whether m is still the source to follow.
func (w *Watcher) stays(s *registrar.Member, m registrar.Member) bool {
	if s == nil {
		// This instance is the first; it follows another one only while the
		// store does not answer it.
		return time.Now().Before(w.next)
	}
	return s.Name == m.Name
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
	if age > outage+patience {
		return errStale
	}
	return nil
}
