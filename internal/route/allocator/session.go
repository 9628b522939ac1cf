package allocator

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/route/tracker"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// session is the server side of the grant stream of one entry.
type session struct {
	allocator      *Allocator
	from           string // Name of the entry.
	outbox         Outbox
	requestedPools map[PoolKey]bool // Pools from which the entry requested slots or to which it reported held ones.

	mu    sync.Mutex
	pools map[uint64]PoolKey // Pool of each open request and grant, by number.
	loads loadLimiter
}

var _ ReplyReceiver = (*session)(nil)

// ServeStream handles the grant stream of the entry named from until the stream
// ends, then removes the queued requests and grants of the entry.
func (al *Allocator) ServeStream(from string, conn net.Conn) {
	s := &session{allocator: al, from: from, requestedPools: make(map[PoolKey]bool), pools: make(map[uint64]PoolKey)}
	var writer sync.WaitGroup
	writer.Add(1)
	go s.writeReplies(conn, &writer)
	if err := s.readMessages(conn); !errors.Is(err, io.EOF) {
		log.Warn().Str("from", from).Err(err).Msg("route: grant stream ended")
	}
	s.outbox.Close()
	_ = conn.Close()
	writer.Wait()
	al.close(s, s.requestedPools)
}

// writeReplies writes queued replies to conn until the outbox is closed or
// writing fails, then closes conn.
func (s *session) writeReplies(conn net.Conn, done *sync.WaitGroup) {
	defer done.Done()
	_ = s.outbox.WriteMessages(conn)
	_ = conn.Close()
}

// readMessages handles the messages of the entry until the stream ends. It
// returns io.EOF at a regular end.
func (s *session) readMessages(conn net.Conn) error {
	r := bufio.NewReaderSize(conn, 32<<10)
	for {
		m := new(messenger.Grant)
		if err := messenger.ReadMessage(r, m); err != nil {
			return err
		}
		if err := s.handleMessage(time.Now(), m); err != nil {
			return err
		}
	}
}

func (s *session) handleMessage(now time.Time, m *messenger.Grant) error {
	switch k := m.Kind.(type) {
	case *messenger.Grant_Ask:
		return s.handleAsk(now, k.Ask)
	case *messenger.Grant_Held:
		return s.handleHeld(now, k.Held)
	case *messenger.Grant_Cancel:
		if key, ok := s.unbindPool(k.Cancel.Number); ok {
			s.allocator.CancelRequest(key, ID{s, k.Cancel.Number})
		}
	case *messenger.Grant_Done:
		s.handleDone(k.Done)
	case *messenger.Grant_Silent:
		if key, ok := s.poolOf(k.Silent.Number); ok {
			s.allocator.MarkSilent(key, ID{s, k.Silent.Number})
		}
	case *messenger.Grant_Use:
		if key, ok := s.poolOf(k.Use.Number); ok {
			s.allocator.UseKeptSlot(key, ID{s, k.Use.Number}, decodeRank(k.Use.Rank), now.Add(time.Duration(k.Use.Left)))
		}
	case *messenger.Grant_Leaving:
		s.allocator.Withholder.RecordLeaving(now, withholder.Lifetime{Name: k.Leaving.Server, ProcessStart: k.Leaving.Born}, withholder.FromInstance(s.from))
	}
	// Other kinds are sent by newer versions and are ignored.
	return nil
}

func (s *session) handleDone(d *messenger.Done) {
	id := ID{s, d.Number}
	if d.Keep {
		if key, ok := s.poolOf(d.Number); ok {
			s.allocator.KeepSlot(key, id, decodeResult(d))
		}
	} else if key, ok := s.unbindPool(d.Number); ok {
		s.allocator.ReleaseSlot(key, id, decodeResult(d))
	}
}

func (s *session) handleAsk(now time.Time, a *messenger.Ask) error {
	key := s.bindPool(a.Number, a.Pool)
	avoid := make([]netip.AddrPort, len(a.Avoid))
	for i, b := range a.Avoid {
		if err := avoid[i].UnmarshalBinary(b); err != nil {
			return errors.Wrap(messenger.ErrInvalidMessage, err.Error())
		}
	}
	s.allocator.RequestSlot(key, SlotRequest{
		ID: ID{s, a.Number}, Rank: decodeRank(a.Rank), Route: a.Route, Deadline: now.Add(time.Duration(a.Left)),
		Target: now.Add(time.Duration(a.Target)), Avoid: avoid, Extra: a.Extra, Hedge: a.Hedge,
	})
	return nil
}

func (s *session) handleHeld(now time.Time, h *messenger.Held) error {
	var server netip.AddrPort
	if err := server.UnmarshalBinary(h.Server); err != nil {
		return errors.Wrap(messenger.ErrInvalidMessage, err.Error())
	}
	key := s.bindPool(h.Number, h.Pool)
	s.allocator.AddHeldSlot(key, ID{s, h.Number}, server, decodeRank(h.Rank), now.Add(time.Duration(h.Left)))
	return nil
}

// bindPool records that the request number belongs to pool p and returns the key
// of p.
func (s *session) bindPool(number uint64, p *messenger.Pool) PoolKey {
	key := PoolKey{Service: p.GetService(), Zone: p.GetZone(), Shard: p.GetShard()}
	s.requestedPools[key] = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[number] = key
	return key
}

func (s *session) poolOf(number uint64) (PoolKey, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, ok := s.pools[number]
	return key, ok
}

func (s *session) unbindPool(number uint64) (PoolKey, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, ok := s.pools[number]
	delete(s.pools, number)
	return key, ok
}

// ReceiveReply queues the reply of a pool to be sent to the entry.
func (s *session) ReceiveReply(r Reply) {
	m := new(messenger.Grant)
	load := encodeLoad(s.limitLoad(time.Now(), r))
	switch r.Kind {
	case ReplyQueued:
		m.Kind = &messenger.Grant_Queued{Queued: &messenger.Queued{Number: r.Number, Load: load}}
	case ReplyOffered:
		server, _ := r.Server.MarshalBinary() // MarshalBinary never fails.
		m.Kind = &messenger.Grant_Offer{Offer: &messenger.Offer{
			Number: r.Number, Server: server, Keep: r.MayKeep, Pace: r.Slowdown, Age: int64(r.SlowdownAge), Cold: r.Cold, Wait: int64(r.Wait),
			Load: load, Name: r.Name, Born: r.ProcessStart,
		}}
	case ReplyRecalled:
		m.Kind = &messenger.Grant_Recall{Recall: &messenger.Recall{Number: r.Number}}
	case ReplyRefused:
		s.unbindPool(r.Number)
		m.Kind = &messenger.Grant_Refuse{Refuse: &messenger.Refuse{Number: r.Number, Reason: r.Reason, After: int64(r.RetryAfter), Load: load}}
	}
	s.outbox.Enqueue(m)
}

// limitLoad returns the load in r unless it was sent shortly before.
func (s *session) limitLoad(now time.Time, r Reply) *Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.limit(now, s.pools[r.Number], r.Load)
}

func decodeResult(d *messenger.Done) tracker.Result {
	return tracker.Result{
		Failed: d.Failed, Refused: d.Refused, Drain: d.Drain, Unanswered: d.Lost, Silent: d.Silent,
		Latency: time.Duration(d.Latency), ReportedCalls: int(d.Busy), Slowdown: d.Pace,
	}
}

func decodeRank(r uint32) parser.Rank { return parser.Rank(min(r, uint32(parser.Patient))) }
