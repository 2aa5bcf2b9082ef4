package backend

import (
	"io"
	"math"

	"github.com/rotisserie/eris"
)

// maxHeadBytes is the maximum size of the head of a response, with the informational responses before it.
const maxHeadBytes = 64 << 10

// errHeadTooLarge means that an instance has sent more than maxHeadBytes that are not the whole head of a
// response.
var errHeadTooLarge = eris.New("the head of the response is too large")

// boundedReader reads from a connection, and fails once a limit of bytes is exceeded. net/http reads heads
// of any size.
type boundedReader struct {
	from io.Reader
	left int64 // bytes that may still be read
}

// newBoundedReader returns a reader without a limit.
func newBoundedReader(from io.Reader) *boundedReader {
	return &boundedReader{from: from, left: math.MaxInt64}
}

// limit sets the number of bytes that may be read from now on.
func (b *boundedReader) limit(bytes int64) { b.left = bytes }

// unlimit lifts the limit for all that is read from now on.
func (b *boundedReader) unlimit() { b.left = math.MaxInt64 }

// Read implements io.Reader.
func (b *boundedReader) Read(buffer []byte) (int, error) {
	if b.left <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := b.from.Read(buffer[:min(int64(len(buffer)), b.left)])
	b.left -= int64(count)
	return count, err
}
