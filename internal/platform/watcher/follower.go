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
	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/instance/detector"
)

// followMember reads the feed of m until it times out, its records are stale or
// another source is to be used. After a failure, m is avoided for a while.
func (r *sourceReader) followMember(ctx context.Context, m registrar.Member) {
	w, start := r.Watcher, time.Now()
	err := r.readFeed(ctx, m)
	if err == nil || ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	wasAvoided := start.Before(w.avoided[m.Name].until)
	w.avoidSource(m.Name, time.Now(), time.Since(start) >= stableFeedTime)
	if !errors.Is(err, errStale) {
		w.unreachableSources++
	}
	w.mu.Unlock()
	w.Log.Warn().Str("instance", m.Name).Err(err).Uint64("revision", w.Revision()).Msg("platform: stopped following the records of another instance")
	if wasAvoided {
		sleeper.Sleep(ctx, minRetryDelay) // All other sources have failed too.
	}
}

// avoidSource keeps the named instance from being followed for a while, which doubles
// with each failure unless its feed was stable. The caller must hold w.mu.
func (w *Watcher) avoidSource(name string, now time.Time, stable bool) {
	previous := w.avoided[name].duration
	if stable {
		previous = 0
	}
	duration := min(max(minAvoidDuration, 2*previous), maxAvoidDuration)
	w.avoided[name] = avoidance{now.Add(duration), duration}
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
	r.synced = false
	if err := r.subscribe(conn); err != nil {
		return err
	}
	w.Log.Info().Str("instance", m.Name).Uint64("revision", w.Revision()).Msg("platform: following the records of another instance")
	in, start := bufio.NewReader(conn), time.Now()
	for {
		message, err := readFeedMessage(conn, in)
		if err != nil {
			return err
		}
		if message.GetAt() == 0 && time.Since(start) > feedTimeout {
			return errNoRecords
		}
		stale := message.GetAt() > 0 && w.applyFeedMessage(message, r.deliveredUpTo)
		r.recordMessage(message.GetAt() > 0 && !stale)
		if err := r.updateSubscription(conn, message); err != nil {
			return err
		}
		w.applyHeldDeletions()
		w.expireOverwritten()
		s, _ := r.chooseSource(time.Now())
		switch {
		case stale && r.mayLeave(m.Name):
			return errStale
		case s == nil || s.Name != m.Name, r.hasGap():
			return nil
		}
	}
}

// readFeedMessage reads the next message, with its records if they come in pieces.
func readFeedMessage(conn net.Conn, in *bufio.Reader) (*messenger.Feed, error) {
	var packed []byte
	for start := time.Now(); ; {
		message, err := readPiece(conn, in)
		if err != nil {
			return nil, err
		}
		piece := message.GetPiece()
		switch {
		case len(piece) == 0 && len(packed) == 0:
			return message, nil
		case len(piece) == 0:
			message.Records, err = unpackRecords(packed)
			return message, errors.Wrap(err, "feed")
		case len(packed)+len(piece) > maxPiecesBytes:
			return nil, errors.Wrapf(errFeedEnded, "records of one message have more than %d bytes", maxPiecesBytes)
		case time.Since(start) > piecesTimeout:
			return nil, errors.Wrapf(errFeedEnded, "records of one message took more than %v", piecesTimeout)
		}
		packed = append(packed, piece...)
	}
}

// readPiece reads one message. A message that was read late may have waited while this
// process stood still, so its age says nothing.
func readPiece(conn net.Conn, in *bufio.Reader) (*messenger.Feed, error) {
	start := time.Now()
	_ = conn.SetReadDeadline(start.Add(feedTimeout))
	message := new(messenger.Feed)
	if err := messenger.ReadMessage(in, message); err != nil {
		return nil, errors.Wrap(errFeedEnded, err.Error())
	}
	if waited := detector.Elapsed(start, time.Now()); waited > maxReadTime {
		return nil, errors.Wrapf(errFeedEnded, "message was read after %v", waited)
	}
	return message, nil
}

// subscribe tells the source what the feed is to carry.
func (r *sourceReader) subscribe(conn net.Conn) error {
	position, mode := r.subscription()
	r.mode = mode
	if mode != allRecords {
		r.deliveredUpTo = position.Revision
	}
	_ = conn.SetWriteDeadline(time.Now().Add(feedTimeout))
	return messenger.WriteMessage(conn, &messenger.Subscribe{Epoch: position.Epoch, After: position.Revision, Standby: mode == noRecords, Pieces: true})
}

// subscription returns the position after which the feed is to carry the records, and what
// it is to carry. The feed of the second reader is the standby one unless its source is
// ahead. Each feed begins with records, because its source may know some that a restored
// store lacks.
func (r *sourceReader) subscription() (after Position, mode feedMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, loaded := r.table.Position()
	switch {
	case r.synced && r.table.IsAhead(r.sourcePosition):
		return Position{}, allRecords
	case r.index > 0 && loaded && r.synced && r.sourcePosition.Compare(p) <= 0:
		return p, noRecords
	}
	return p, changedRecords
}

// updateSubscription subscribes again when a message shows that the feed has to carry
// something else.
func (r *sourceReader) updateSubscription(conn net.Conn, message *messenger.Feed) error {
	r.synced = r.synced || message.GetAt() > 0 && !message.GetStandby()
	r.sourcePosition = Position{message.GetEpoch(), message.GetAt()}
	if !message.GetStandby() {
		r.deliveredUpTo = message.GetAt()
	}
	if _, mode := r.subscription(); mode == r.mode {
		return nil
	}
	return r.subscribe(conn)
}

// hasGap reports whether the feed goes on after a revision that is not known yet, because the
// records were replaced by older ones of the other source. The feed is then opened again.
func (r *sourceReader) hasGap() bool {
	p := r.Position()
	return r.mode != noRecords && r.sourcePosition.Epoch == p.Epoch && r.deliveredUpTo > p.Revision
}

// applyFeedMessage applies one message of a feed, which has all changes after a revision,
// and reports whether its sender is of
// no use as a source: it has been without contact to the store for staleAge or longer,
// what it knows came from this instance, or it has not noticed that the store was restored.
func (w *Watcher) applyFeedMessage(message *messenger.Feed, after uint64) (stale bool) {
	age, known := time.Duration(message.GetAge()), w.Position()
	source := Position{message.GetEpoch(), message.GetAt()}
	stale = age >= staleAge || message.GetReader() == w.Name || source.Epoch < known.Epoch
	c := confirmation{time.Now().Add(-age), message.GetReader(), source.Epoch}
	if message.GetReader() == w.Name || message.GetStandby() && source.Compare(known) > 0 {
		c.by = ""
	}
	batch := Batch{Epoch: source.Epoch, After: after, Revision: source.Revision, Records: make([]Record, 0, len(message.GetRecords()))}
	for _, r := range message.GetRecords() {
		batch.Records = append(batch.Records, Record{
			Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Deleted: r.GetDeleted(), OutlivesCopy: r.GetOutlives(),
		})
	}
	w.updateTable(c, func(now time.Time) []Record {
		switch {
		case message.GetStandby():
			return nil
		case message.GetFull():
			return w.table.LoadAll(now, batch)
		}
		return w.table.ApplyChanges(now, batch)
	})
	if !stale {
		w.mu.Lock()
		w.unreachableSources = 0
		w.mu.Unlock()
	}
	return stale
}
