package memory

import "sync"

// Reservation is the memory held for one request or connection of an owner. It is safe for
// concurrent use. A nil Holding accepts everything and counts nothing.
type Reservation struct {
	account    *Account
	owner      Owner
	ownerUsage *ownerUsage

	mutex  sync.Mutex
	bytes  [kindCount]int64
	closed bool
}

// Grow reserves bytes that the caller is about to allocate. It returns an *ExceededError if a
// limit would be exceeded or the holding is closed.
func (h *Reservation) Grow(kind Kind, bytes int64) error {
	if h == nil || bytes <= 0 {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return &ExceededError{Kind: kind, Requested: bytes}
	}
	if err := h.account.reserve(h.ownerUsage, kind, bytes); err != nil {
		return err
	}
	h.bytes[kind] += bytes
	return nil
}

// Shrink releases bytes of the kind, at most as many as the holding has reserved.
func (h *Reservation) Shrink(kind Kind, bytes int64) {
	if h == nil || bytes <= 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.shrink(kind, min(bytes, h.bytes[kind]))
}

func (h *Reservation) shrink(kind Kind, bytes int64) {
	h.bytes[kind] -= bytes
	h.account.release(h.ownerUsage, kind, bytes)
}

// Close releases all bytes of the holding, which cannot grow afterwards. Closing it again has no
// effect.
func (h *Reservation) Close() {
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
	h.account.closeHolding(h.owner, h.ownerUsage)
}
