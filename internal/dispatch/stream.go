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

// Errors of a stream.
var (
	errIdle       = errors.New("stream was silent for too long")
	errEndedEarly = errors.New("stream ended before its last chunk")
	errGap        = errors.New("stream skipped a part of the content")
	errDiffers    = errors.New("stream repeats content with another text")
	errForeign    = errors.New("stream carries another request's identifier")
)

const (
	eventPrefix       = "data:"
	eventDone         = "[DONE]"
	initialEventBytes = 4 << 10
	drainTimeout      = time.Second
	drainBytes        = 4 << 10
)

// assembly puts a completion together out of chunks, over several streams.
type assembly struct {
	requestID string
	limit     int // bytes
	content   strings.Builder
	finish    string
	usage     *enginev1.Usage
}

// complete says that the last chunk came: finish reason and usage are there.
func (a *assembly) complete() bool { return a.finish != "" && a.usage != nil }

// take adds a chunk and returns the content that is new. A gap, a foreign
// identifier or a contradiction is an error and adds nothing.
func (a *assembly) take(chunk *enginev1.CompletionChunk) (string, error) {
	if chunk.ID != a.requestID {
		return "", eris.Wrapf(errForeign, "chunk of %q", chunk.ID)
	}
	fresh, err := a.align(chunk.Offset, contentOf(chunk))
	if err != nil {
		return "", err
	}
	if a.content.Len()+len(fresh) > a.limit {
		return "", eris.Wrapf(errTooLarge, "more than %d bytes", a.limit)
	}
	a.content.WriteString(fresh)
	for _, choice := range chunk.Choices {
		if choice.FinishReason != "" {
			a.finish = choice.FinishReason
		}
	}
	if chunk.Usage != nil {
		a.usage = chunk.Usage
	}
	return fresh, nil
}

// align cuts off what is there already.
func (a *assembly) align(offset int, text string) (string, error) {
	known := a.content.Len()
	if offset < 0 || offset > known {
		return "", eris.Wrapf(errGap, "have %d bytes, chunk begins at %d", known, offset)
	}
	overlap := min(known-offset, len(text))
	if a.content.String()[offset:offset+overlap] != text[:overlap] {
		return "", eris.Wrapf(errDiffers, "at byte %d", offset)
	}
	return text[overlap:], nil
}

func contentOf(chunk *enginev1.CompletionChunk) string {
	if len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// readEvents reads server-sent events until one ends the stream: visit
// returns true to stop. An end without that is errEndedEarly.
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

// watchdog cancels a context after a silence; touch is called at each sign of life.
type watchdog struct {
	timer   *time.Timer
	silence time.Duration
}

func watch(ctx context.Context, silence time.Duration) (context.Context, context.CancelFunc, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	dog := &watchdog{silence: silence}
	dog.timer = time.AfterFunc(silence, func() { cancel(errIdle) })
	stop := func() {
		dog.timer.Stop()
		cancel(nil)
	}
	return ctx, stop, dog
}

func (w *watchdog) touch() { w.timer.Reset(w.silence) }

// aliveReader touches the watchdog with each read that brought something.
type aliveReader struct {
	io.Reader
	dog *watchdog
}

func (r aliveReader) Read(buffer []byte) (int, error) {
	count, err := r.Reader.Read(buffer)
	if count > 0 {
		r.dog.touch()
	}
	return count, err
}

// drain reads the short rest of a stream, so that its connection can be used
// again, then stops it; it never holds up the answer.
func drain(body io.ReadCloser, stop context.CancelFunc) {
	timer := time.AfterFunc(drainTimeout, stop)
	go func() {
		_, _ = io.CopyN(io.Discard, body, drainBytes) // its end, or none: the connection shows by itself whether it can be used again
		_ = body.Close()
		timer.Stop()
		stop()
	}()
}
