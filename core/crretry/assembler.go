package crretry

import (
	"errors"
	"fmt"
	"math"
)

// Errors returned by an Assembler.
var (
	// ErrGap means that tokens before the offset of a message are missing. The attempt
	// cannot continue.
	ErrGap = errors.New("tokens are missing")
	// ErrIncomplete means that the token count in the end marker differs from the number of
	// tokens received.
	ErrIncomplete = errors.New("the answer is not whole")
	// ErrEnded means that tokens arrived after the end of the answer.
	ErrEnded = errors.New("the answer has ended")
)

// Assembler assembles one answer from the token messages of its attempts. It drops messages
// of other requests and of other attempts, which arrive late or were delivered to the
// wrong request. Set the exported fields before first use. An Assembler is not safe for
// concurrent use.
type Assembler struct {
	// RequestID identifies the request that is answered.
	RequestID string
	// Attempt is the current attempt, the only one whose messages are accepted. Its messages
	// may begin at any offset up to the number of tokens received so far.
	Attempt uint32

	offset uint32
	ended  bool
}

// Resume starts the next attempt, which continues after the tokens received so far. It
// panics if the attempt is not later than the current one.
func (a *Assembler) Resume(attempt uint32) {
	if attempt <= a.Attempt {
		panic("crretry: Resume with an attempt that is not later than the current one")
	}
	a.Attempt = attempt
}

// Accept processes one message and returns its new tokens, which are those at and after
// Offset. It returns none for a message of another request or attempt. The returned slice
// shares memory with tokens.
func (a *Assembler) Accept(requestID string, attempt, offset uint32, tokens []string) ([]string, error) {
	if requestID != a.RequestID || attempt != a.Attempt {
		return nil, nil
	}
	if offset > a.offset {
		return nil, fmt.Errorf("%w: from %d to %d", ErrGap, a.offset, offset)
	}
	end := uint64(offset) + uint64(len(tokens))
	if end <= uint64(a.offset) {
		return nil, nil
	}
	if a.ended || end > math.MaxUint32 {
		return nil, fmt.Errorf("%w at %d", ErrEnded, a.offset)
	}
	fresh := tokens[a.offset-offset:]
	a.offset = uint32(end)
	return fresh, nil
}

// Finish processes the end marker of the current attempt. count is the number of tokens in
// the whole answer. Finish returns ErrIncomplete if that is not the number received.
func (a *Assembler) Finish(count uint32) error {
	if count != a.offset {
		return fmt.Errorf("%w: have %d tokens of %d", ErrIncomplete, a.offset, count)
	}
	a.ended = true
	return nil
}

// Offset returns the number of tokens received in order. The next attempt continues there.
func (a *Assembler) Offset() uint32 { return a.offset }

// Whole reports whether the answer has ended with all its tokens.
func (a *Assembler) Whole() bool { return a.ended }
