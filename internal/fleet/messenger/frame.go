package messenger

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the size limit of a message: 1 MiB for a configuration bundle
// and 64 KiB for the fields around it.
const MaxMessageBytes = 1<<20 + 64<<10

// ErrInvalidMessage reports a message that is too large or cannot be decoded.
var ErrInvalidMessage = errors.New("message is not acceptable")

// WriteMessage writes the length of m and m to w. It calls w.Write only once,
// because each call produces a yamux frame and a TLS record.
func WriteMessage(w io.Writer, m proto.Message) error {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return errors.Wrap(err, "message encoding")
	}
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "message write")
}

// ReadMessage reads one message of at most MaxMessageBytes into m. It returns
// io.EOF at the end of the stream and ErrInvalidMessage for a message that is too
// large or cannot be decoded.
func ReadMessage(r *bufio.Reader, m proto.Message) error {
	return ReadLimitedMessage(r, m, MaxMessageBytes)
}

// ReadLimitedMessage is ReadMessage for a message of at most limit bytes.
func ReadLimitedMessage(r *bufio.Reader, m proto.Message, limit int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m)
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return errors.Wrap(ErrInvalidMessage, err.Error())
}
