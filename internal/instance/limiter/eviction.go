package limiter

import (
	"cmp"
	"slices"
	"time"
)

// victim is a connection that may be closed, with the cost of keeping it.
type victim struct {
	conn *Conn
	idle bool // The connection waits for its next request.
	held int64
	cost float64
}

// relieve closes connections until the budget is kept.
func (l *Limiter) relieve() {
	if !l.isOver(closeFraction) {
		return
	}
	excess := l.held.Load() - int64(reliefFraction*float64(l.Budget()))
	for _, v := range l.victims(kindCount, true) {
		if excess <= 0 {
			return
		}
		excess -= v.held
		v.conn.closeFor(Memory)
	}
}

// victims returns the connections of a listener that may be closed, first those to be
// closed first; kindCount stands for callers and operators. The cost of a connection is
// what it holds, over how fast its request arrives. A request that has just begun costs
// little, so an ordinary one ends before it is the first in order. Connections between
// two requests come last, because a caller may be sending its next one.
func (l *Limiter) victims(k Kind, byBytes bool) []victim {
	now := l.now()
	l.mu.Lock()
	all := make([]victim, 0, len(l.conns))
	for c := range l.conns {
		if c.kind == Peers || k != kindCount && c.kind != k || c.protected.Load() > 0 {
			continue
		}
		received := c.received.Load()
		v := victim{conn: c, held: c.held.Load(), idle: received == 0 && c.served.Load()}
		age := now - c.since.Load()
		v.cost = float64(age) / float64(received+1024)
		if byBytes {
			if v.held <= smallBytes && age < int64(youngTime) {
				continue
			}
			v.cost *= float64(v.held)
		}
		all = append(all, v)
	}
	l.mu.Unlock()
	slices.SortFunc(all, compareVictims)
	return all
}

func compareVictims(a, b victim) int {
	if a.idle != b.idle {
		if b.idle {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.cost, a.cost)
}

// closeUnread closes the connections whose clients take no answer.
func (l *Limiter) closeUnread() {
	timeout := unreadTimeout
	if l.isOver(closeFraction) {
		timeout = unreadTimeoutFull
	}
	for _, c := range l.unread(timeout) {
		c.closeFor(Unread)
	}
}

// unread returns the connections whose last write has lasted longer than timeout.
func (l *Limiter) unread(timeout time.Duration) (all []*Conn) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if since := c.writing.Load(); c.kind != Peers && since > 0 && now-since > int64(timeout) {
			all = append(all, c)
		}
	}
	return all
}
