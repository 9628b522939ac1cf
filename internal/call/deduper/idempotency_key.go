package deduper

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// IdempotencyKey is the parsed idempotency key of a call.
type IdempotencyKey struct {
	Text string // Canonical form, the key of the record and of the place.
	// PeerAddr, Incarnation and Sequence denote the issuer; they are set only
	// for an idempotency key that an instance issued.
	PeerAddr    netip.AddrPort
	Incarnation uint64
	Sequence    uint64    // Nanoseconds from the start of the incarnation to the issue, raised where needed to be unique.
	Time        time.Time // Creation time in a UUIDv7; zero when the idempotency key carries no time.
}

// Issued reports whether an instance issued the idempotency key.
func (i IdempotencyKey) Issued() bool { return i.PeerAddr.IsValid() }

// ParseIdempotencyKey parses the idempotency key of a call: an issued
// idempotency key or a UUIDv7. Any other text is an idempotency key that carries
// no time.
func ParseIdempotencyKey(text string) IdempotencyKey {
	if key, ok := parseIssued(text); ok {
		return key
	}
	// uuid.Parse accepts further forms; only the form of 36 characters is read as
	// a UUID here.
	if u, err := uuid.Parse(text); err == nil && len(text) == 36 && u.Version() == 7 {
		return IdempotencyKey{Text: u.String(), Time: time.Unix(u.Time().UnixTime())}
	}
	return IdempotencyKey{Text: text}
}

// parseIssued parses text in the form peer/incarnation/sequence.
func parseIssued(text string) (key IdempotencyKey, ok bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return key, false
	}
	peer, err := netip.ParseAddrPort(parts[0])
	if err != nil {
		return key, false
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return key, false
	}
	sequence, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return key, false
	}
	return newIssuedKey(peer, incarnation, sequence), true
}

func newIssuedKey(peer netip.AddrPort, incarnation, sequence uint64) IdempotencyKey {
	text := fmt.Sprintf("%s/%d/%d", peer, incarnation, sequence)
	return IdempotencyKey{Text: text, PeerAddr: peer, Incarnation: incarnation, Sequence: sequence}
}
