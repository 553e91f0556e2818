// Package crexecution provides at-most-once execution of requests that must not
// be repeated.
//
// Such a request carries an execution token as its id. The token is issued by
// one run of an instance (from the start to the end of its process), and only
// that run may execute it: every retry is routed there. Once the run has ended,
// the token is void and never runs again. The run keeps in memory which of its
// tokens have started, so that no write to the platform's store is needed.
package crexecution

import (
	"crypto/hmac"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxTokenBytes is the length of the longest text that Parse accepts, in bytes.
	MaxTokenBytes = 256

	// BindingBytes and MACBytes are the lengths of the truncated HMAC-SHA256 codes
	// of a token, in bytes.
	BindingBytes = 8
	MACBytes     = 16

	tokenPrefix    = "x1"
	tokenSeparator = "-"
	// fieldsAfterInstance is the number of fields after the instance's name. The
	// name may contain separators, so that the fields are counted from the end.
	fieldsAfterInstance = 5
	runDigits           = 16
)

// ErrInvalidToken is returned for a text that no run has issued.
var ErrInvalidToken = errors.New("not an execution token")

// Token is the content of an execution token.
type Token struct {
	// Instance and Run identify the process that may execute the token.
	Instance string
	Run      uint64
	// Sequence numbers the tokens of a run, from 1.
	Sequence uint64
	// Expiry is the last time at which the token may start, as the time since the
	// start of the run by its monotonic clock. It is a multiple of a millisecond.
	Expiry time.Duration
	// Binding is a code of the service and client account that the token is for.
	Binding [BindingBytes]byte
	// MAC authenticates the rest of the token: only the run can compute it.
	MAC [MACBytes]byte
}

// signedText returns the text that the MAC covers.
func (k Token) signedText() string {
	return fmt.Sprintf("%s-%s-%016x-%d-%d-%x", tokenPrefix, k.Instance, k.Run, k.Sequence, k.Expiry.Milliseconds(), k.Binding)
}

// String returns the text of the token as it is sent, in the form
// x1-INSTANCE-RUN-SEQUENCE-EXPIRY-BINDING-MAC.
func (k Token) String() string { return fmt.Sprintf("%s-%x", k.signedText(), k.MAC) }

// Parse parses the text of a token, so that any instance can route it. It doesn't
// verify the MAC: only the run that issued the token has the key. Its errors wrap
// ErrInvalidToken.
func Parse(text string) (Token, error) {
	if len(text) > MaxTokenBytes {
		return Token{}, fmt.Errorf("%w: longer than %d bytes", ErrInvalidToken, MaxTokenBytes)
	}
	fields := strings.Split(text, tokenSeparator)
	tail := len(fields) - fieldsAfterInstance
	if tail < 2 || fields[0] != tokenPrefix {
		return Token{}, fmt.Errorf("%w: want the form x1-INSTANCE-RUN-SEQUENCE-EXPIRY-BINDING-MAC", ErrInvalidToken)
	}
	k := Token{Instance: strings.Join(fields[1:tail], tokenSeparator)}
	if err := k.parseFields(fields[tail:]); err != nil {
		return Token{}, fmt.Errorf("%w: %w", ErrInvalidToken, err)
	}
	// Only the canonical text of a token is accepted: leading zeros and capitals are
	// rejected.
	if k.Instance == "" || k.String() != text {
		return Token{}, fmt.Errorf("%w: not in its one form", ErrInvalidToken)
	}
	return k, nil
}

// IsToken reports whether the request id has the prefix of an execution token. It
// doesn't check the rest.
func IsToken(requestID string) bool {
	return strings.HasPrefix(requestID, tokenPrefix+tokenSeparator)
}

// parseFields parses the fields after the instance's name into k.
func (k *Token) parseFields(fields []string) error {
	var err error
	if k.Run, err = strconv.ParseUint(fields[0], 16, 64); err != nil || len(fields[0]) != runDigits {
		return fmt.Errorf("run %q is not %d hexadecimal digits", fields[0], runDigits)
	}
	if k.Sequence, err = strconv.ParseUint(fields[1], 10, 64); err != nil {
		return fmt.Errorf("sequence %q is not a number", fields[1])
	}
	expiry, err := strconv.ParseUint(fields[2], 10, 63)
	if err != nil || expiry > uint64(maxElapsed/time.Millisecond) {
		return fmt.Errorf("expiry %q is not a number of milliseconds", fields[2])
	}
	k.Expiry = time.Duration(expiry) * time.Millisecond
	if err := decodeHex(k.Binding[:], fields[3]); err != nil {
		return err
	}
	return decodeHex(k.MAC[:], fields[4])
}

func decodeHex(to []byte, text string) error {
	if len(text) != hex.EncodedLen(len(to)) {
		return fmt.Errorf("code %q has not %d digits", text, hex.EncodedLen(len(to)))
	}
	if _, err := hex.Decode(to, []byte(text)); err != nil {
		return fmt.Errorf("code %q is not hexadecimal", text)
	}
	return nil
}

// computeBinding returns the Binding of a service and a client account. The length
// of the service's name is hashed too, so that no two pairs hash the same bytes.
func computeBinding(h hash.Hash, service, account string) (code [BindingBytes]byte) {
	h.Reset()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(service)))
	h.Write(length[:])
	h.Write([]byte(service))
	h.Write([]byte(account))
	copy(code[:], h.Sum(nil))
	return code
}

// computeMAC returns the MAC of signedText.
func (k Token) computeMAC(h hash.Hash) (code [MACBytes]byte) {
	h.Reset()
	h.Write([]byte(k.signedText()))
	copy(code[:], h.Sum(nil))
	return code
}

// hasValidMAC reports whether the token's MAC is valid under the key of h.
func (k Token) hasValidMAC(h hash.Hash) bool {
	want := k.computeMAC(h)
	return hmac.Equal(want[:], k.MAC[:])
}
