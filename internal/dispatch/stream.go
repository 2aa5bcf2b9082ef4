package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
)

// Errors of a stream. errWrongID is also used for other replies.
var (
	errIdle       = errors.New("stream was idle for too long")
	errEndedEarly = errors.New("stream ended before its last chunk")
	errGap        = errors.New("stream skipped a part of the content")
	errMismatch   = errors.New("stream repeats a part of the content with different text")
	errWrongID    = errors.New("reply belongs to another request or call")
)

const (
	eventPrefix       = "data:"
	eventDone         = "[DONE]"
	initialEventBytes = 4 << 10
	drainTimeout      = time.Second
	drainBytes        = 4 << 10
)

// assembly builds the content of a completion from the chunks of one or more
// streams.
type assembly struct {
	requestID    string
	limit        int // maximum content in bytes
	content      strings.Builder
	finishReason string
	usage        *enginev1.Usage
}

// isComplete reports whether the last chunk was received, which means that
// finishReason and usage are set.
func (a *assembly) isComplete() bool { return a.finishReason != "" && a.usage != nil }

// add adds a chunk and returns the content that is new. It adds nothing and
// returns an error if the chunk leaves a gap, contradicts earlier content,
// belongs to another request or exceeds the limit.
func (a *assembly) add(chunk *enginev1.CompletionChunk) (string, error) {
	if chunk.ID != a.requestID {
		return "", eris.Wrapf(errWrongID, "chunk of %q", chunk.ID)
	}
	added, err := a.trimReceived(chunk.Offset, chunkContent(chunk))
	if err != nil {
		return "", err
	}
	if a.content.Len()+len(added) > a.limit {
		return "", eris.Wrapf(errTooLarge, "more than %d bytes", a.limit)
	}
	a.content.WriteString(added)
	for _, choice := range chunk.Choices {
		if choice.FinishReason != "" {
			a.finishReason = choice.FinishReason
		}
	}
	if chunk.Usage != nil {
		a.usage = chunk.Usage
	}
	return added, nil
}

// trimReceived returns text without the part that was received before. offset is
// the position of text in the whole content.
func (a *assembly) trimReceived(offset int, text string) (string, error) {
	received := a.content.Len()
	if offset < 0 || offset > received {
		return "", eris.Wrapf(errGap, "have %d bytes, chunk begins at %d", received, offset)
	}
	overlap := min(received-offset, len(text))
	if a.content.String()[offset:offset+overlap] != text[:overlap] {
		return "", eris.Wrapf(errMismatch, "at byte %d", offset)
	}
	return text[overlap:], nil
}

func chunkContent(chunk *enginev1.CompletionChunk) string {
	if len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// readEvents reads server-sent events and calls visit with each chunk until
// visit returns true or an error. It returns errEndedEarly if the stream ends
// before that, and errTooLarge if an event has more than maxEvent bytes.
func readEvents(body io.Reader, maxEvent int, visit func(*enginev1.CompletionChunk) (bool, error)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, min(initialEventBytes, maxEvent)), maxEvent)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte(eventPrefix))
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == eventDone {
			return errEndedEarly
		}
		var chunk enginev1.CompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return eris.Wrap(err, "decode chunk")
		}
		stop, err := visit(&chunk)
		if stop || err != nil {
			return err
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return eris.Wrapf(errTooLarge, "event of more than %d bytes", maxEvent)
	}
	if scanner.Err() != nil {
		return eris.Wrap(scanner.Err(), "read stream")
	}
	return errEndedEarly
}

// idleTimer cancels a context with the cause errIdle if reset is not called for
// the duration of the timeout.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

func withIdleTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, *idleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	idle := &idleTimer{timeout: timeout}
	idle.timer = time.AfterFunc(timeout, func() { cancel(errIdle) })
	stop := func() {
		idle.timer.Stop()
		cancel(nil)
	}
	return ctx, stop, idle
}

func (t *idleTimer) reset() { t.timer.Reset(t.timeout) }

// idleResetReader resets the timer with each read that returns data.
type idleResetReader struct {
	io.Reader
	timer *idleTimer
}

func (r idleResetReader) Read(buffer []byte) (int, error) {
	count, err := r.Reader.Read(buffer)
	if count > 0 {
		r.timer.reset()
	}
	return count, err
}

// drain reads the short rest of a stream in the background, so that the
// connection can be reused, and then closes the stream. It returns at once.
func drain(body io.ReadCloser, stop context.CancelFunc) {
	timer := time.AfterFunc(drainTimeout, stop)
	go func() {
		_, _ = io.CopyN(io.Discard, body, drainBytes) // ignore the error: the connection is then not reused
		_ = body.Close()
		timer.Stop()
		stop()
	}()
}
