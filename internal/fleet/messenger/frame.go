package messenger

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxFrame is the largest message in bytes: a bundle of 1 MiB and its frame.
const MaxFrame = 1<<20 + 64<<10

// ErrFrame reports a message that is too large or cannot be decoded.
var ErrFrame = errors.New("message is not acceptable")

// Write writes m with its length to w. It calls Write of w once: each call
// costs a frame of yamux and a record of TLS.
func Write(w io.Writer, m proto.Message) error {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return errors.Wrap(err, "message encoding")
	}
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "message write")
}

// Read reads one message into m. It returns io.EOF at the end of the stream
// and ErrFrame for a message that is not acceptable.
func Read(r *bufio.Reader, m proto.Message) error { return ReadLimit(r, m, MaxFrame) }

// ReadLimit is Read for a message of at most limit bytes.
func ReadLimit(r *bufio.Reader, m proto.Message, limit int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m)
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return errors.Wrap(ErrFrame, err.Error())
}
