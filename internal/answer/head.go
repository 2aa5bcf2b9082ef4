package answer

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformedHead means that bytes which should be the head of an answer are none of HTTP/1, or that the head
// can be read in more than one way. The request may have been executed.
var ErrMalformedHead = eris.New("malformed head of an answer")

func malformed(format string, arguments ...any) error {
	return eris.Wrapf(ErrMalformedHead, format, arguments...)
}

// Bounds of a status, from RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// checkStatus returns an error unless the status is one of the protocol.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return malformed("status %d", status)
	}
	return nil
}

// isToken reports whether the text is a token of RFC 9110, section 5.6.2, as names of fields are.
func isToken[Text string | []byte](text Text) bool {
	for index := range len(text) {
		if !isTokenByte(text[index]) {
			return false
		}
	}
	return len(text) > 0
}

func isTokenByte(char byte) bool {
	switch {
	case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", char) >= 0
	}
}

// isFieldValue reports whether the bytes may be the value of a field.
func isFieldValue(value []byte) bool {
	const deleteByte = 0x7f
	for _, char := range value {
		if char < ' ' && char != '\t' || char == deleteByte {
			return false
		}
	}
	return true
}

// CheckHead checks the head of an answer, from its status line to the empty line, before anything in it is
// used. It refuses what net/http lets through: statuses and versions that the protocol does not have, names
// with blanks, lines that continue the one before, and two statements about the length of the body. The
// error wraps ErrMalformedHead.
func CheckHead(head []byte) error {
	statusLine, rest := cutLine(head)
	isHTTP10, err := checkStatusLine(statusLine)
	if err != nil {
		return err
	}
	hasLength, hasCoding := false, false
	for {
		var line []byte
		line, rest = cutLine(rest)
		if len(line) == 0 {
			break
		}
		name, err := checkFieldLine(line)
		if err != nil {
			return err
		}
		hasLength = hasLength || bytes.EqualFold(name, nameLength)
		hasCoding = hasCoding || bytes.EqualFold(name, nameCoding)
	}
	if hasCoding && (hasLength || isHTTP10) {
		return malformed("a transfer coding beside a length, or in HTTP/1.0")
	}
	return nil
}

// Names of the fields that state where the body ends.
var nameLength, nameCoding = []byte("Content-Length"), []byte("Transfer-Encoding")

// cutLine returns the first line without its end, and what follows it.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkStatusLine checks "HTTP/1.1 200 OK", of which the reason may be missing.
func checkStatusLine(line []byte) (isHTTP10 bool, err error) {
	const versionBytes, statusBytes = len("HTTP/1.1"), len("200")
	if len(line) < versionBytes+1+statusBytes {
		return false, malformed("status line %q", line)
	}
	version, status, reason := line[:versionBytes], line[versionBytes+1:versionBytes+1+statusBytes], line[versionBytes+1+statusBytes:]
	isHTTP10 = string(version) == "HTTP/1.0"
	hasReason := len(reason) == 0 || reason[0] == ' '
	if !isHTTP10 && string(version) != "HTTP/1.1" || line[versionBytes] != ' ' || !hasReason || !isFieldValue(reason) {
		return false, malformed("status line %q", line)
	}
	number := 0
	for _, digit := range status {
		if digit < '0' || digit > '9' {
			return false, malformed("status line %q", line)
		}
		number = 10*number + int(digit-'0')
	}
	return isHTTP10, checkStatus(number)
}

// checkFieldLine checks "Name: value" and returns the name.
func checkFieldLine(line []byte) (name []byte, err error) {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) || !isFieldValue(value) {
		return nil, malformed("line %.100q", line)
	}
	return name, nil
}

// CheckResponse checks a response that net/http has read. It can't see all that CheckHead sees: net/http has
// joined lines and dropped a statement about the length. The error wraps ErrMalformedHead.
func CheckResponse(response *http.Response) error {
	if response.TLS == nil && response.ProtoMajor != 1 {
		return malformed("version %s", response.Proto)
	}
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	for name := range response.Header {
		if !isToken(name) {
			return malformed("name %.100q", name)
		}
	}
	return nil
}
