package watcher

import (
	"bufio"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/instance/detector"
)

// feedServer sends the records to one follower.
type feedServer struct {
	watcher       *Watcher
	conn          net.Conn
	subscriptions chan *messenger.Subscribe // Closed when the follower ends the stream.
	done          chan struct{}             // Closed when the server ends the stream.
}

// ServeStream sends the records and then their changes over conn to another
// instance, the follower, until the stream ends. A standby follower gets only the
// revision and the age of the records.
func (w *Watcher) ServeStream(_ connector.Hello, conn net.Conn) {
	w.initOnFirstUse()
	f := &feedServer{watcher: w, conn: conn, subscriptions: make(chan *messenger.Subscribe), done: make(chan struct{})}
	var reading sync.WaitGroup
	reading.Add(1)
	go f.loop(&reading)
	f.serve()
	close(f.done)
	_ = conn.Close()
	reading.Wait()
}

// loop reads the subscriptions of the follower until the stream ends.
func (f *feedServer) loop(reading *sync.WaitGroup) {
	defer reading.Done()
	defer close(f.subscriptions)
	in := bufio.NewReaderSize(f.conn, 64)
	_ = f.conn.SetReadDeadline(time.Now().Add(feedOpenTimeout))
	for {
		m := new(messenger.Subscribe)
		if err := messenger.ReadLimitedMessage(in, m, maxSubscribeBytes); err != nil {
			return
		}
		_ = f.conn.SetReadDeadline(time.Time{})
		select {
		case f.subscriptions <- m:
		case <-f.done:
			return
		}
	}
}

// serve sends messages until the stream ends.
func (f *feedServer) serve() {
	subscription, ok := <-f.subscriptions
	if !ok {
		return
	}
	sequence := uint64(0)
	period := time.NewTimer(feedPeriod)
	defer period.Stop()
	for {
		message, changed := f.watcher.nextFeedMessage(subscription, sequence)
		if err := f.send(message, subscription.GetPieces()); err != nil {
			if errors.Is(err, messenger.ErrInvalidMessage) {
				f.watcher.Log.Error().Err(err).Msg("platform: records not sent to another instance")
			}
			return
		}
		if !subscription.GetStandby() {
			sequence = message.contents.last
		}
		period.Reset(feedPeriod)
		select {
		case <-changed:
			if subscription.GetStandby() {
				period.Reset(standbyDelay)
				<-period.C
			}
		case <-period.C:
		case next, ok := <-f.subscriptions:
			if !ok {
				return
			}
			subscription, sequence = next, 0
		}
	}
}

// feedMessage is a message of a feed with its records, which are part of it or sent in
// pieces.
type feedMessage struct {
	*messenger.Feed
	contents contents
	at       time.Time // Time as of which the message gives the age of the records.
}

// send sends m, with its records ahead in pieces if they are large and the follower takes
// pieces.
func (f *feedServer) send(m *feedMessage, pieces bool) error {
	if pieces && recordsSize(m.Records) >= messenger.DeflateFrom {
		packed, err := f.watcher.packer.pack(m.contents, m.Records)
		if err != nil {
			return err
		}
		for piece := range slices.Chunk(packed, pieceBytes) {
			if err := f.write(&messenger.Feed{Piece: piece}); err != nil {
				return err
			}
		}
		m.Records = nil
		m.Age += int64(detector.Elapsed(m.at, time.Now()))
	}
	return f.write(m.Feed)
}

func (f *feedServer) write(m *messenger.Feed) error {
	_ = f.conn.SetWriteDeadline(time.Now().Add(feedTimeout))
	return messenger.WriteMessage(f.conn, m)
}

// nextFeedMessage returns the message with the changes after the revision of the
// subscription or, when sequence is above 0, after the change with that number (see
// Table.sequence). As long as the store has not confirmed the records, the message has
// none of them and the last sequence is 0; changed is closed at the next change.
func (w *Watcher) nextFeedMessage(s *messenger.Subscribe, sequence uint64) (m *feedMessage, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, loaded := w.table.Position()
	if !loaded || w.table.ConfirmedAt().IsZero() {
		// Records of a stale first read are not passed on.
		return &feedMessage{Feed: &messenger.Feed{Age: math.MaxInt64, Standby: true}}, w.changed
	}
	now := time.Now()
	age := now.Sub(w.table.ConfirmedAt())
	if w.storeFailing.Load() && w.confirmedBy == w.Name {
		age = max(age, staleAge) // The next confirmation will not come from the store.
	}
	position := w.table.AppliedPosition()
	m = &feedMessage{
		Feed: &messenger.Feed{Epoch: position.Epoch, At: position.Revision, Age: int64(age), Standby: s.GetStandby(), Reader: w.confirmedBy},
		at:   now,
	}
	if s.GetStandby() {
		return m, w.changed
	}
	after := Position{s.GetEpoch(), s.GetAfter()}
	records, last, full := w.table.ChangesSince(after, sequence)
	m.Full, m.contents = full, contents{after: after, sequence: sequence, last: last, at: position, full: full}
	if full || sequence > 0 {
		m.contents.after = Position{}
	}
	if full {
		m.contents.sequence = 0
	}
	for _, r := range records {
		m.Records = append(m.Records, &messenger.Record{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted, Outlives: r.OutlivesCopy})
	}
	return m, w.changed
}
