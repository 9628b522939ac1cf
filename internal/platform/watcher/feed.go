package watcher

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

// ServeStream sends the records and then their changes over conn to another
// instance, the follower, until the stream ends.
func (w *Watcher) ServeStream(_ connector.Hello, conn net.Conn) {
	w.initOnFirstUse()
	subscription := new(messenger.Subscribe)
	_ = conn.SetReadDeadline(time.Now().Add(feedOpenTimeout))
	if err := messenger.ReadMessage(bufio.NewReader(conn), subscription); err != nil {
		return
	}
	after, sequence := subscription.After, uint64(0)
	ticker := time.NewTicker(feedPeriod)
	defer ticker.Stop()
	for {
		message, lastSequence, changed := w.nextFeedMessage(after, sequence)
		if lastSequence > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(feedTimeout))
			if err := messenger.WriteMessage(conn, message); err != nil {
				return
			}
			sequence = lastSequence
		}
		select {
		case <-changed:
		case <-ticker.C:
			if lastSequence == 0 {
				return // There are no confirmed records to send; the follower needs another source.
			}
		}
	}
}

// nextFeedMessage returns the message with the changes after the given revision or,
// when sequence is above 0, after the change with that number (see Table.sequence). The result lastSequence
// is 0 as long as the store has not confirmed the records; changed is closed at the
// next change.
func (w *Watcher) nextFeedMessage(after, sequence uint64) (message *messenger.Feed, lastSequence uint64, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision, loaded := w.table.Revision()
	if !loaded || w.table.ConfirmedAt().IsZero() {
		return nil, 0, w.changed // Records of a stale first read are not passed on.
	}
	records, lastSequence, full := w.table.ChangesSince(after, sequence)
	age := time.Since(w.table.ConfirmedAt())
	if w.storeFailing.Load() && !w.isFollowing(time.Now()) {
		age = max(age, staleAge)
	}
	message = &messenger.Feed{At: revision, Age: int64(age), Full: full}
	for _, r := range records {
		message.Records = append(message.Records, &messenger.Record{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return message, lastSequence, w.changed
}

// isFollowing reports whether a feed of another instance confirmed the records
// within the last feedPeriod, so that they are up to date although this instance cannot reach the
// store. The caller must hold w.mu.
func (w *Watcher) isFollowing(now time.Time) bool { return now.Sub(w.table.ConfirmedAt()) < feedPeriod }

// followMember reads the feed of m until it times out, its records are stale or
// another source is to be used. After a failure, m is avoided for a while.
func (r *sourceReader) followMember(ctx context.Context, m registrar.Member) {
	w, start := r.Watcher, time.Now()
	err := r.readFeed(ctx, m)
	if err == nil || ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	now, previousDuration := time.Now(), w.avoided[m.Name].duration
	if now.Sub(start) >= stableFeedTime {
		previousDuration = 0
	}
	duration := min(max(minAvoidDuration, 2*previousDuration), maxAvoidDuration)
	w.avoided[m.Name] = avoidance{now.Add(duration), duration}
	w.mu.Unlock()
	w.Log.Warn().Str("instance", m.Name).Err(err).Uint64("revision", w.Revision()).Msg("platform: stopped following the records of another instance")
}

// readFeed applies the messages of the feed of m. It returns nil when another
// source is to be used.
func (r *sourceReader) readFeed(ctx context.Context, m registrar.Member) error {
	w := r.Watcher
	openCtx, cancel := context.WithTimeout(ctx, feedOpenTimeout)
	conn, err := w.StreamOpener.OpenStream(openCtx, m.PeerAddr, connector.FeedStream)
	cancel()
	if err != nil {
		return errors.Wrap(err, "feed")
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := messenger.WriteMessage(conn, &messenger.Subscribe{After: w.Revision()}); err != nil {
		return err
	}
	w.Log.Info().Str("instance", m.Name).Uint64("revision", w.Revision()).Msg("platform: following the records of another instance")
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(feedTimeout))
		message := new(messenger.Feed)
		if err := messenger.ReadMessage(in, message); err != nil {
			return errors.Wrap(errFeedEnded, err.Error())
		}
		if err := w.applyFeedMessage(message); err != nil {
			return err
		}
		w.applyHeldDeletions()
		if s, _ := r.chooseSource(time.Now()); s == nil || s.Name != m.Name {
			return nil
		}
	}
}

// applyFeedMessage applies one message of a feed. It returns errStale when the sender
// has been without contact to the store for staleAge or longer.
func (w *Watcher) applyFeedMessage(message *messenger.Feed) error {
	age := time.Duration(message.Age)
	batch := Batch{Revision: message.At, Records: make([]Record, 0, len(message.Records))}
	for _, r := range message.Records {
		batch.Records = append(batch.Records, Record{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	w.updateTable(time.Now().Add(-age), true, func(now time.Time) []Record {
		if message.Full {
			return w.table.LoadAll(now, batch)
		}
		return w.table.ApplyChanges(now, batch)
	})
	if age >= staleAge {
		return errStale
	}
	return nil
}
