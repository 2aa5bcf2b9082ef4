package gateway

import (
	"bytes"

	"github.com/thymeloft/thymeloft/internal/beginning"
)

// eventReader parses a server-sent event stream while it is relayed. It counts the events
// that have data and, if collect is set, collects their data. It is not safe for concurrent use.
type eventReader struct {
	collect bool   // whether to collect the data of events
	mark    bool   // whether to note where events end in the output; needs collect
	line    []byte // current line so far, without its end
	data    []byte // data of the current event
	hasData bool   // whether the current event has a data field
	inEvent bool   // whether the current event has a field of any kind
	count   int    // complete events that have data
	output  []byte // data of the complete events, each followed by a line feed
	lastID  string // identifier of the current event, or else of the last one that had one
	marks   []beginning.Mark
}

// Names of the fields of an event, with the colon behind them.
var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// commentMark begins a line that belongs to no event.
const commentMark = ':'

// write parses the next bytes of the stream, which may begin and end anywhere.
func (e *eventReader) write(chunk []byte) {
	for len(chunk) > 0 {
		end := bytes.IndexByte(chunk, '\n')
		if end < 0 {
			e.appendToLine(chunk)
			return
		}
		e.appendToLine(chunk[:end])
		e.endLine()
		chunk = chunk[end+1:]
	}
}

// appendToLine appends bytes to the current line. If data is not collected, it keeps only the
// beginning of the line, which is enough to recognize a data field or an empty line.
func (e *eventReader) appendToLine(chunk []byte) {
	const maxPrefixBytes = 8 // longer than "data:" and than the carriage return of an empty line
	if !e.collect {
		chunk = chunk[:min(len(chunk), max(maxPrefixBytes-len(e.line), 0))]
	}
	e.line = append(e.line, chunk...)
}

func (e *eventReader) endLine() {
	line := bytes.TrimSuffix(e.line, []byte("\r"))
	e.line = e.line[:0]
	if len(line) == 0 {
		e.endEvent()
		return
	}
	if line[0] == commentMark {
		return
	}
	e.inEvent = true
	if id, isID := bytes.CutPrefix(line, idField); isID && e.mark {
		e.lastID = string(bytes.TrimPrefix(id, []byte(" ")))
		return
	}
	value, isData := bytes.CutPrefix(line, dataField)
	if !isData {
		return
	}
	if e.collect {
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	e.hasData = true
}

func (e *eventReader) endEvent() {
	e.inEvent = false
	if !e.hasData {
		return
	}
	e.count++
	if e.collect {
		e.output = append(e.output, e.data...)
		e.output = append(e.output, '\n')
	}
	if e.mark && e.lastID != "" {
		e.marks = append(e.marks, beginning.Mark{ID: e.lastID, End: len(e.output)})
	}
	e.data = e.data[:0]
	e.hasData = false
}

// seed adds the events that were relayed by earlier attempts at the stream, which are not counted.
func (e *eventReader) seed(earlier beginning.Found) {
	e.output, e.marks = earlier.Output, earlier.Marks
}

// isPartial reports whether the stream so far ends within an event or a line.
func (e *eventReader) isPartial() bool { return e.inEvent || len(e.line) > 0 }

// countWithPartial returns the number of events, including an incomplete last one of which data may have
// been relayed.
func (e *eventReader) countWithPartial() int {
	if e.hasData || len(e.line) > 0 {
		return e.count + 1
	}
	return e.count
}

// bufferedBytes returns how many bytes the reader holds.
func (e *eventReader) bufferedBytes() int64 { return int64(len(e.line) + len(e.data) + len(e.output)) }
