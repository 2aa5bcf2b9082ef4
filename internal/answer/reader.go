package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// Reader reads answers from a connection, one after another. A head must fit its buffer, which grows for it:
// whoever provides the source bounds the bytes of a head.
type Reader struct {
	*bufio.Reader
	source      io.Reader
	bufferBytes int // size of the buffer between answers
}

// NewReader returns a reader with a buffer of the given size.
func NewReader(source io.Reader, bufferBytes int) *Reader {
	return &Reader{Reader: bufio.NewReaderSize(source, bufferBytes), source: source, bufferBytes: bufferBytes}
}

// ReadResponse reads the head of the next answer, to the given request, and checks it before any of it is
// used. The body of the response must be read, or its connection closed, before the next answer is read.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	head, err := r.peekHead()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if err := CheckHead(head); err != nil {
		return nil, err
	}
	return http.ReadResponse(r.Reader, request)
}

// peekHead returns the bytes of the next head, which remain unread.
func (r *Reader) peekHead() ([]byte, error) {
	searched := 0
	for {
		received, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if end := endOfHead(received, searched); end > 0 {
			return received[:end], nil
		}
		searched = len(received)
		if searched == r.Size() {
			r.grow()
		}
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// endOfHead returns the length of the head with which the text begins, or 0 if its end is missing. The first
// bytes have been searched before.
func endOfHead(text []byte, searched int) int {
	const endBytes = len("\n\r\n")
	from := max(searched-endBytes, 0)
	for {
		lineBreak := bytes.IndexByte(text[from:], '\n')
		if lineBreak < 0 {
			return 0
		}
		from += lineBreak + 1
		rest := text[from:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
}

// grow doubles the size of the buffer, which is full.
func (r *Reader) grow() {
	received := make([]byte, r.Buffered())
	_, _ = io.ReadFull(r.Reader, received) // can't fail: all of it is in the buffer
	r.Reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(received), r.source), 2*r.Size())
}

// Shrink gives the buffer its first size again. It must be empty.
func (r *Reader) Shrink() {
	if r.Size() > r.bufferBytes {
		r.Reader = bufio.NewReaderSize(r.source, r.bufferBytes)
	}
}
