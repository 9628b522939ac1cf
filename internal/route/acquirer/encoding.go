package acquirer

import (
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// errHomeSilent is the error of a stream on which a home sends no reply in time.
var errHomeSilent = errors.New("home does not answer")

func encodePool(k allocator.PoolKey) *messenger.Pool {
	return &messenger.Pool{Service: k.Service, Zone: k.Zone, Shard: k.Shard}
}

func encodeAsk(p *poolAsk) *messenger.Grant {
	req := &p.acquisition.request
	m := &messenger.Ask{
		Number: p.number, Pool: encodePool(p.pool.key), Rank: uint32(req.Rank), Left: int64(time.Until(req.Deadline)),
		Target: int64(time.Until(req.Target)), Route: req.Route, Extra: p.extra, Hedge: req.Hedge,
	}
	for _, addr := range req.Avoid {
		b, _ := addr.MarshalBinary() // The error is always nil.
		m.Avoid = append(m.Avoid, b)
	}
	return &messenger.Grant{Kind: &messenger.Grant_Ask{Ask: m}}
}

func encodeHeld(s *Slot) *messenger.Grant {
	req := &s.ask.acquisition.request
	server, _ := s.Server.MarshalBinary() // The error is always nil.
	return &messenger.Grant{Kind: &messenger.Grant_Held{Held: &messenger.Held{
		Number: s.ask.number, Pool: encodePool(s.ask.pool.key), Server: server,
		Left: int64(time.Until(req.Deadline)), Rank: uint32(req.Rank),
	}}}
}

func encodeDone(number uint64, r Result, keep bool) *messenger.Grant {
	return &messenger.Grant{Kind: &messenger.Grant_Done{Done: &messenger.Done{
		Number: number, Latency: int64(r.Latency), Busy: int32(r.ReportedCalls),
		Failed: r.Failed, Refused: r.Refused, Drain: r.Drain, Keep: keep, Lost: r.Unanswered, Pace: r.Slowdown, Silent: r.Silent,
	}}}
}

func encodeUse(s *Slot) *messenger.Grant {
	req := &s.ask.acquisition.request
	return &messenger.Grant{Kind: &messenger.Grant_Use{Use: &messenger.Use{
		Number: s.ask.number, Rank: uint32(req.Rank), Left: int64(time.Until(req.Deadline)),
	}}}
}

func encodeLeaving(l withholder.Lifetime) *messenger.Grant {
	return &messenger.Grant{Kind: &messenger.Grant_Leaving{Leaving: &messenger.Leaving{Server: l.Name, Born: l.ProcessStart}}}
}

// decodeReply returns the reply in m; ok is false for a kind that this version does
// not know.
func decodeReply(m *messenger.Grant) (r allocator.Reply, ok bool, err error) {
	switch k := m.Kind.(type) {
	case *messenger.Grant_Offer:
		r = allocator.Reply{Number: k.Offer.Number, Kind: allocator.ReplyOffered}
		if err := r.Server.UnmarshalBinary(k.Offer.Server); err != nil {
			return r, false, errors.Wrap(messenger.ErrInvalidMessage, err.Error())
		}
		r.MayKeep, r.Slowdown, r.SlowdownAge = k.Offer.Keep, k.Offer.Pace, time.Duration(k.Offer.Age)
		r.Load = allocator.DecodeLoad(k.Offer.Load)
		r.Name, r.ProcessStart = k.Offer.Name, k.Offer.Born
		r.Cold, r.Wait = k.Offer.Cold, time.Duration(k.Offer.Wait)
	case *messenger.Grant_Recall:
		r = allocator.Reply{Number: k.Recall.Number, Kind: allocator.ReplyRecalled}
	case *messenger.Grant_Queued:
		r = allocator.Reply{Number: k.Queued.Number, Kind: allocator.ReplyQueued, Load: allocator.DecodeLoad(k.Queued.Load)}
	case *messenger.Grant_Refuse:
		r = allocator.Reply{
			Number: k.Refuse.Number, Kind: allocator.ReplyRefused,
			Reason: k.Refuse.Reason, RetryAfter: time.Duration(k.Refuse.After),
			Load: allocator.DecodeLoad(k.Refuse.Load),
		}
	default:
		return r, false, nil
	}
	return r, true, nil
}
