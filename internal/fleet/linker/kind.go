package linker

// Kind is the first byte of a stream and says what the stream carries.
type Kind byte

// The kinds of streams.
const (
	Control Kind = 'c' // Messages of messenger.Control.
	Grant   Kind = 'g' // Messages of messenger.Grant.
	Call    Kind = 'h' // Calls as HTTP/1.1.
)
