package abuse

import (
	"net"
	"strconv"
	"strings"
	"sync"
)

// statusObserver is a connection that keeps the beginning of the first answer that is read from it.
type statusObserver struct {
	net.Conn
	mutex sync.Mutex
	begin []byte // at most len(answerBegin)
}

// answerBegin has the form of the beginning of an answer.
const answerBegin = "HTTP/1.1 200"

// Read implements net.Conn.
func (o *statusObserver) Read(into []byte) (int, error) {
	count, err := o.Conn.Read(into)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.begin = append(o.begin, into[:min(count, len(answerBegin)-len(o.begin))]...)
	return count, err
}

// status returns the status of the first answer; 0 if it was not read.
func (o *statusObserver) status() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, code, _ := strings.Cut(string(o.begin), " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(o.begin) < len(answerBegin) {
		return 0
	}
	return status
}
