package gateway

import "bytes"

// eventReader follows an event stream that is relayed: it counts events and
// collects their data, each followed by a line feed.
type eventReader struct {
	collect bool
	line    []byte
	data    []byte // of the event under way
	started bool   // the event under way has data
	count   int
	output  []byte
}

var dataField = []byte("data:")

// write takes the next bytes of the stream in.
func (e *eventReader) write(chunk []byte) {
	for len(chunk) > 0 {
		end := bytes.IndexByte(chunk, '\n')
		if end < 0 {
			e.take(chunk)
			return
		}
		e.take(chunk[:end])
		e.endLine()
		chunk = chunk[end+1:]
	}
}

// take adds to the line; where no data is collected, only what tells its kind.
func (e *eventReader) take(piece []byte) {
	const kind = 8 // more than the name of a field of data, and than the end of an empty line
	if !e.collect {
		piece = piece[:min(len(piece), max(kind-len(e.line), 0))]
	}
	e.line = append(e.line, piece...)
}

func (e *eventReader) endLine() {
	line := bytes.TrimSuffix(e.line, []byte("\r"))
	e.line = e.line[:0]
	if len(line) == 0 {
		e.endEvent()
		return
	}
	value, isData := bytes.CutPrefix(line, dataField)
	if !isData {
		return
	}
	if e.collect {
		if e.started {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	e.started = true
}

func (e *eventReader) endEvent() {
	if !e.started {
		return
	}
	e.count++
	if e.collect {
		e.output = append(e.output, e.data...)
		e.output = append(e.output, '\n')
	}
	e.data = e.data[:0]
	e.started = false
}

// partial tells whether an event was begun and not ended.
func (e *eventReader) partial() bool { return e.started || len(e.line) > 0 }

// begun counts events, also one that was begun.
func (e *eventReader) begun() int {
	if e.partial() {
		return e.count + 1
	}
	return e.count
}

// size is how many bytes it keeps.
func (e *eventReader) size() int64 { return int64(len(e.line) + len(e.data) + len(e.output)) }
