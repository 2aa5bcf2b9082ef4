package ingress

import "bytes"

// headerScanner finds the end of a request header in the bytes of a connection, and counts its fields.
// It may begin within a header, whose first bytes net/http has read with the request before.
type headerScanner struct {
	scanned int // bytes scanned so far
	fields  int // complete lines so far
	end     int // length of the header with the empty line at its end; 0: not found yet
	// lineBytes is the number of bytes of the current line so far, without a carriage return at its
	// end.
	lineBytes int
	sawReturn bool // the last byte was a carriage return
}

// scan scans the next bytes. It returns the number of these bytes up to the end of the header, or -1 if
// the header does not end within them. Like net/http, it takes a line feed with or without a carriage
// return before it for the end of a line.
func (s *headerScanner) scan(received []byte) int {
	for position := 0; position < len(received); {
		length := bytes.IndexByte(received[position:], '\n')
		if length < 0 {
			s.addToLine(received[position:])
			s.scanned += len(received)
			return -1
		}
		s.addToLine(received[position : position+length])
		position += length + 1
		isEmpty := s.lineBytes == 0
		s.lineBytes, s.sawReturn = 0, false
		if isEmpty {
			s.end = s.scanned + position
			s.scanned += position
			return position
		}
		s.fields++
	}
	s.scanned += len(received)
	return -1
}

// addToLine adds bytes without a line feed to the current line.
func (s *headerScanner) addToLine(content []byte) {
	if len(content) == 0 {
		return
	}
	if s.sawReturn {
		s.lineBytes++
	}
	s.sawReturn = content[len(content)-1] == '\r'
	s.lineBytes += len(content)
	if s.sawReturn {
		s.lineBytes--
	}
}

// hasSeveralHeaders reports whether the bytes after a header contain the ends of further ones. A body
// that contains empty lines may look like that as well.
func hasSeveralHeaders(following []byte) bool {
	return bytes.Contains(following, []byte("\r\n\r\n"))
}
