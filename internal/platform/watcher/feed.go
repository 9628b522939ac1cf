package watcher

import (
	"bufio"
	"math"
	"net"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
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
		message, lastSequence, changed := f.watcher.nextFeedMessage(subscription, sequence)
		_ = f.conn.SetWriteDeadline(time.Now().Add(feedTimeout))
		if err := messenger.WriteMessage(f.conn, message); err != nil {
			return
		}
		if !subscription.GetStandby() {
			sequence = lastSequence
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

// nextFeedMessage returns the message with the changes after the revision of the
// subscription or, when sequence is above 0, after the change with that number (see
// Table.sequence). As long as the store has not confirmed the records, the message has
// none of them and lastSequence is 0; changed is closed at the next change.
func (w *Watcher) nextFeedMessage(s *messenger.Subscribe, sequence uint64) (message *messenger.Feed, lastSequence uint64, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, loaded := w.table.Position()
	if !loaded || w.table.ConfirmedAt().IsZero() {
		// Records of a stale first read are not passed on.
		return &messenger.Feed{Age: math.MaxInt64, Standby: true}, 0, w.changed
	}
	age := time.Since(w.table.ConfirmedAt())
	if w.storeFailing.Load() && w.confirmedBy == w.Name {
		age = max(age, staleAge) // The next confirmation will not come from the store.
	}
	position := w.table.AppliedPosition()
	message = &messenger.Feed{Epoch: position.Epoch, At: position.Revision, Age: int64(age), Standby: s.GetStandby(), Reader: w.confirmedBy}
	if s.GetStandby() {
		return message, 0, w.changed
	}
	var records []Record
	records, lastSequence, message.Full = w.table.ChangesSince(Position{s.GetEpoch(), s.GetAfter()}, sequence)
	for _, r := range records {
		message.Records = append(message.Records, &messenger.Record{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted, Outlives: r.OutlivesCopy})
	}
	return message, lastSequence, w.changed
}
