package abuse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Client is a kind of client that does not behave, and how many of them are played at once. Each
// connects again when its connection ends, after a pause.
type Client struct {
	Name  string
	Count int
	// IsIncomplete is set if none of its requests is complete and within the limits, so that none runs.
	IsIncomplete bool
	// exchange uses one connection until it ends or the context does.
	exchange func(ctx context.Context, connection net.Conn, to Target, id string)
}

// Target is where clients send their requests.
type Target struct {
	Address   string // "ip:port"
	Host      string // host of the requests
	Path      string
	LargePath string // path with the largest answer; empty: Path
}

// Play plays this many clients of the kind until the context ends. Their requests have identifiers that
// begin with the prefix. It calls onRefused, unless that is nil, with the identifier of each request whose
// answer promises that it did not run.
func (c Client) Play(ctx context.Context, at Target, count int, prefix string, onRefused func(id string)) {
	if onRefused == nil {
		onRefused = func(string) {}
	}
	if at.LargePath == "" {
		at.LargePath = at.Path
	}
	var playing sync.WaitGroup
	for number := range count {
		playing.Go(func() { c.play(ctx, at, fmt.Sprintf("%s-%d", prefix, number), onRefused) })
	}
	playing.Wait()
}

// reconnectPause is how long a client waits before it connects again.
const reconnectPause = 500 * time.Millisecond

// play connects again and again until the context ends.
func (c Client) play(ctx context.Context, to Target, name string, onRefused func(id string)) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		id := fmt.Sprintf("%s-%s-%d", name, strings.ReplaceAll(c.Name, " ", "-"), attempt)
		if promisesNotRun(c.connect(ctx, to, id)) {
			onRefused(id)
		}
		pauseFor(ctx, reconnectPause)
	}
}

// connect uses one connection and returns the status of the first answer on it; 0 if none was read.
func (c Client) connect(ctx context.Context, to Target, id string) int {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	observed := &statusObserver{Conn: connection}
	c.exchange(ctx, observed, to, id)
	return observed.status()
}

// Clients returns the kinds of clients that do not behave.
func Clients() []Client {
	return []Client{
		{Name: "headers of short fields", IsIncomplete: true, Count: 1200, exchange: sendShortFields},
		{Name: "bodies in one-byte chunks", Count: 400, exchange: sendTinyChunks},
		{Name: "bodies in one piece", Count: 400, exchange: sendWholeBody},
		{Name: "bodies in small pieces", Count: 400, exchange: sendSmallPieces},
		{Name: "requests ahead", Count: 300, exchange: sendAhead},
		{Name: "half bodies", IsIncomplete: true, Count: 4000, exchange: sendHalfBody},
		{Name: "endless bodies", IsIncomplete: true, Count: 200, exchange: sendEndlessBody},
		{Name: "headers byte by byte", IsIncomplete: true, Count: 2500, exchange: sendSlowHeader},
		{Name: "half headers", IsIncomplete: true, Count: 2500, exchange: sendHalfHeader},
		{Name: "large answers not read", Count: 800, exchange: ignoreAnswer},
		{Name: "large answers read slowly", Count: 800, exchange: readSlowly},
		{Name: "idle connections", Count: 3000, exchange: stayIdle},
	}
}

// head returns the beginning of a request header, without the empty line at its end.
func (t Target) head(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", method, path, t.Host, id)
}

// shortFields are fields of few bytes with different names, in total of the largest size of a header. They
// are made once, so that the clients leave the processor to the callers and engines of this process.
var shortFields = newShortFields(maxHeaderBytes)

// shortFieldBytes is the length of each of them.
const shortFieldBytes = len("abc:\r\n")

func newShortFields(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var fields strings.Builder
	for number := range bytes / shortFieldBytes {
		fields.WriteString(string([]byte{letters[number/676%26], letters[number/26%26], letters[number%26]}) + ":\r\n")
	}
	return fields.String()
}

// largestHeader returns a header of the maximum size made of short fields. The length of the body
// follows from the last argument.
func (t Target) largestHeader(id, framing string) string {
	begin := t.head(http.MethodPost, t.Path, id) + framing
	const emptyLine = "\r\n"
	space := maxHeaderBytes - len(begin) - len(emptyLine)
	return begin + shortFields[:space-space%shortFieldBytes] + emptyLine
}

// drain reads until the connection ends.
func drain(connection net.Conn) { _, _ = io.Copy(io.Discard, connection) }

// write writes the text and reports whether that succeeded.
func write(connection net.Conn, text string) bool {
	_, err := io.WriteString(connection, text)
	return err == nil
}

// sendShortFields sends the largest header of short fields, and then nothing of its body.
func sendShortFields(_ context.Context, connection net.Conn, to Target, id string) {
	if write(connection, to.largestHeader(id, "Content-Length: 1000\r\n")) {
		drain(connection)
	}
}

// tinyChunks is a piece of a chunked body, in chunks of one byte.
var tinyChunks = strings.Repeat("1\r\nx\r\n", tinyChunksPerWrite)

const tinyChunksPerWrite = 4 << 10

func sendTinyChunks(_ context.Context, connection net.Conn, to Target, id string) {
	answered := readAnswers(connection)
	if !write(connection, to.head(http.MethodPost, to.Path, id)+"Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	for range maxBodyBytes / tinyChunksPerWrite {
		if !write(connection, tinyChunks) {
			return
		}
	}
	if write(connection, "0\r\n\r\n") {
		<-answered
	}
}

// readAnswers reads in the background, and closes the channel after an answer or the end of the
// connection.
func readAnswers(connection net.Conn) <-chan struct{} {
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}()
	return answered
}

var bodyPiece = strings.Repeat("x", bodyPieceBytes)

const bodyPieceBytes = 64 << 10

func sendWholeBody(_ context.Context, connection net.Conn, to Target, id string) {
	sendPieces(connection, to, id, bodyPiece)
}

func sendSmallPieces(_ context.Context, connection net.Conn, to Target, id string) {
	const smallPiece = 256
	sendPieces(connection, to, id, bodyPiece[:smallPiece])
}

// sendPieces sends a body of the maximum size, written in pieces, and reads the answer.
func sendPieces(connection net.Conn, to Target, id, piece string) {
	answered := readAnswers(connection)
	if !write(connection, to.head(http.MethodPost, to.Path, id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)) {
		return
	}
	for range maxBodyBytes / len(piece) {
		if !write(connection, piece) {
			return
		}
	}
	<-answered
}

// sendAhead sends many requests without reading an answer.
func sendAhead(ctx context.Context, connection net.Conn, to Target, id string) {
	const requests = 2000
	for number := range requests {
		if !write(connection, to.head(http.MethodGet, to.Path, fmt.Sprintf("%s-%d", id, number))+"\r\n") {
			return
		}
	}
	<-ctx.Done()
}

// sendHalfBody sends half of a body and stops.
func sendHalfBody(_ context.Context, connection net.Conn, to Target, id string) {
	const bytes = 32 << 10
	if write(connection, to.head(http.MethodPost, to.Path, id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*bytes)+bodyPiece[:bytes]) {
		drain(connection)
	}
}

// sendEndlessBody sends a body without end.
func sendEndlessBody(ctx context.Context, connection net.Conn, to Target, id string) {
	go drain(connection)
	if !write(connection, to.head(http.MethodPost, to.Path, id)+"Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	for ctx.Err() == nil && write(connection, fmt.Sprintf("%x\r\n%s\r\n", len(bodyPiece), bodyPiece)) {
		continue
	}
}

// sendSlowHeader sends a header byte by byte.
func sendSlowHeader(ctx context.Context, connection net.Conn, to Target, id string) {
	const pause = 100 * time.Millisecond
	for _, letter := range []byte(to.largestHeader(id, "")) {
		if ctx.Err() != nil || !write(connection, string(letter)) {
			return
		}
		pauseFor(ctx, pause)
	}
}

// sendHalfHeader sends most of the largest header and stops.
func sendHalfHeader(_ context.Context, connection net.Conn, to Target, id string) {
	const missing = 64
	header := to.largestHeader(id, "")
	if write(connection, header[:len(header)-missing]) {
		drain(connection)
	}
}

// ignoreAnswer requests the largest answer and does not read it.
func ignoreAnswer(ctx context.Context, connection net.Conn, to Target, id string) {
	if write(connection, to.head(http.MethodGet, to.LargePath, id)+"\r\n") {
		<-ctx.Done()
	}
}

// readSlowly requests the largest answer and reads a few bytes of it at a time.
func readSlowly(ctx context.Context, connection net.Conn, to Target, id string) {
	const (
		pause = 100 * time.Millisecond
		bytes = 128
	)
	if !write(connection, to.head(http.MethodGet, to.LargePath, id)+"\r\n") {
		return
	}
	for buffer := make([]byte, bytes); ctx.Err() == nil; pauseFor(ctx, pause) {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
	}
}

// stayIdle sends one request, reads the answer and keeps the connection.
func stayIdle(_ context.Context, connection net.Conn, to Target, id string) {
	if write(connection, to.head(http.MethodGet, to.Path, id)+"\r\n") {
		drain(connection)
	}
}
