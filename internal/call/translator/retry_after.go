package translator

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter is the longest time for which a backend server may want no calls; a
// longer one is taken for a mistake.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter sets RetryAfter from text, the Retry-After header of a response with
// the given status: seconds, with or without a fraction. Only that of a 503 counts. Text
// that is no number, negative or beyond maxRetryAfter goes to InvalidRetryAfter.
func (m *ResponseMetadata) ParseRetryAfter(status int, text string) {
	if status != http.StatusServiceUnavailable || text == "" {
		return
	}
	// ParseFloat also accepts signs, exponents, infinities and hexadecimal numbers.
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || seconds > maxRetryAfter.Seconds() {
		m.InvalidRetryAfter = text
		return
	}
	m.RetryAfter = time.Duration(seconds * float64(time.Second))
}
