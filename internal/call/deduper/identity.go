package deduper

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Identity is the identity of a call in canonical form.
type Identity struct {
	Text string // Key of records and of the place.
	// Peer, Incarnation and Sequence are set for an identity that an instance issued.
	Peer        netip.AddrPort
	Incarnation uint64
	Sequence    uint64    // Nanoseconds from the start of the incarnation to the issue, made unique.
	Time        time.Time // Creation as an UUIDv7 tells it; zero when the identity carries no time.
}

// Issued reports whether an instance issued the identity.
func (i Identity) Issued() bool { return i.Peer.IsValid() }

// Parse reads the identity of a call. Text in no known form is an identity
// that carries no time.
func Parse(text string) Identity {
	if id, ok := parseIssued(text); ok {
		return id
	}
	// uuid.Parse accepts more forms; only this one is taken as an UUID.
	if u, err := uuid.Parse(text); err == nil && len(text) == 36 && u.Version() == 7 {
		return Identity{Text: u.String(), Time: time.Unix(u.Time().UnixTime())}
	}
	return Identity{Text: text}
}

func parseIssued(text string) (id Identity, ok bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return id, false
	}
	peer, err := netip.ParseAddrPort(parts[0])
	if err != nil {
		return id, false
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return id, false
	}
	sequence, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return id, false
	}
	return newIssued(peer, incarnation, sequence), true
}

func newIssued(peer netip.AddrPort, incarnation, sequence uint64) Identity {
	text := fmt.Sprintf("%s/%d/%d", peer, incarnation, sequence)
	return Identity{Text: text, Peer: peer, Incarnation: incarnation, Sequence: sequence}
}
