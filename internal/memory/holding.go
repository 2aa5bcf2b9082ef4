package memory

import "sync"

// Holding is what is held for one request or connection of an owner. It grows
// and shrinks; Close gives the rest back, once. It is safe for concurrent use; a
// nil Holding takes everything and counts nothing.
type Holding struct {
	account *Account
	owner   Owner
	share   *share

	mutex  sync.Mutex
	bytes  [kindCount]int64
	closed bool
}

// Grow counts further bytes before they are allocated, or returns *ExceededError.
// A closed holding stays empty and refuses.
func (h *Holding) Grow(kind Kind, bytes int64) error {
	if h == nil || bytes <= 0 {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return &ExceededError{Kind: kind, Wanted: bytes}
	}
	if err := h.account.take(h.share, kind, bytes); err != nil {
		return err
	}
	h.bytes[kind] += bytes
	return nil
}

// Shrink gives bytes back that are not held any more, at most those that were counted.
func (h *Holding) Shrink(kind Kind, bytes int64) {
	if h == nil || bytes <= 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.shrink(kind, min(bytes, h.bytes[kind]))
}

func (h *Holding) shrink(kind Kind, bytes int64) {
	h.bytes[kind] -= bytes
	h.account.give(h.share, kind, bytes)
}

// Close gives everything back. Further calls do nothing.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	for kind, bytes := range h.bytes {
		h.shrink(Kind(kind), bytes)
	}
	h.account.leave(h.owner, h.share)
}
