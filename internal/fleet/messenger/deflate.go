package messenger

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// DeflateFrom is the size from which the content of a message is worth deflating.
const DeflateFrom = 32 << 10

// Deflate returns the encoding of m, deflated. The error is ErrInvalidMessage if the encoding
// has more than limit bytes.
func Deflate(m proto.Message, limit int) ([]byte, error) {
	text, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "message encoding")
	}
	if len(text) > limit {
		return nil, errors.Wrapf(ErrInvalidMessage, "%d bytes, at most %d", len(text), limit)
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "message encoding")
	}
	_, _ = w.Write(text) // A bytes.Buffer takes all that is written.
	_ = w.Close()
	return b.Bytes(), nil
}

// Inflate decodes what Deflate returned into m. The error is ErrInvalidMessage for a message
// of more than limit bytes or one that cannot be decoded.
func Inflate(deflated []byte, m proto.Message, limit int) error {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), int64(limit)+1))
	if err == nil && len(text) > limit {
		err = errors.Errorf("more than %d bytes", limit)
	}
	if err == nil {
		err = proto.Unmarshal(text, m)
	}
	if err != nil {
		return errors.Wrap(ErrInvalidMessage, err.Error())
	}
	return nil
}
