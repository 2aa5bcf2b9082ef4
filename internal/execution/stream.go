package execution

import "sync"

// stream buffers the content that the current attempt has produced so far, for
// followers to read. It is safe for concurrent use.
type stream struct {
	mutex   sync.Mutex
	attempt uint32 // number of the current attempt
	content []byte
	changed chan struct{} // closed and replaced on each change
}

// streamUpdate is the content that a follower does not have yet.
type streamUpdate struct {
	content   string
	restarted bool            // content starts at offset 0 of another attempt
	attempt   uint32          // number of the attempt that produced content
	changed   <-chan struct{} // closed on the next change of the stream
}

func (u *streamUpdate) hasContent() bool { return u.content != "" || u.restarted }

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// restart discards the content and makes attempt the current one.
func (s *stream) restart(attempt uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attempt = attempt
	s.content = nil
	s.notifyLocked()
}

// add appends a piece of content. It ignores pieces of any attempt other than
// the current one.
func (s *stream) add(attempt uint32, piece string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if attempt != s.attempt || piece == "" {
		return
	}
	s.content = append(s.content, piece...)
	s.notifyLocked()
}

// notify wakes all followers without changing the content.
func (s *stream) notify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.notifyLocked()
}

func (s *stream) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the content that a follower does not have yet. The follower has
// offset bytes of the content of the given attempt. If another attempt has become
// the current one, read returns all of that attempt's content, marked as
// restarted, as soon as there is any. If attempt is 0 and the offset is not, read
// returns content only while the first attempt is the current one.
func (s *stream) read(offset int, attempt uint32) streamUpdate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update := streamUpdate{attempt: s.attempt, changed: s.changed}
	switch {
	case offset <= 0:
		update.content = string(s.content)
	case attempt == s.attempt || (attempt == 0 && s.attempt == firstAttemptNumber):
		if offset < len(s.content) {
			update.content = string(s.content[offset:])
		}
	case attempt != 0 && len(s.content) > 0:
		update.restarted = true
		update.content = string(s.content)
	}
	return update
}
