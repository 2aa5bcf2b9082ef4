package memory

import "sync"

// Reservation is the memory held for one request or connection of an owner. It is safe for
// concurrent use. A nil Reservation accepts everything and counts nothing.
type Reservation struct {
	account    *Account
	owner      Owner
	ownerUsage *ownerUsage

	mutex  sync.Mutex
	bytes  [kindCount]int64
	closed bool
}

// Grow reserves bytes that the caller is about to allocate. It returns an *ExceededError if a
// limit would be exceeded or the reservation is closed.
func (r *Reservation) Grow(kind Kind, bytes int64) error {
	if r == nil || bytes <= 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return &ExceededError{Kind: kind, Requested: bytes}
	}
	if err := r.account.reserve(r.ownerUsage, kind, bytes); err != nil {
		return err
	}
	r.bytes[kind] += bytes
	return nil
}

// Shrink releases bytes of the kind, at most as many as are reserved.
func (r *Reservation) Shrink(kind Kind, bytes int64) {
	if r == nil || bytes <= 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.shrink(kind, min(bytes, r.bytes[kind]))
}

func (r *Reservation) shrink(kind Kind, bytes int64) {
	r.bytes[kind] -= bytes
	r.account.release(r.ownerUsage, kind, bytes)
}

// Close releases all bytes of the reservation, which cannot grow afterwards. Closing it again
// has no effect.
func (r *Reservation) Close() {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	for kind, bytes := range r.bytes {
		r.shrink(Kind(kind), bytes)
	}
	r.account.closeReservation(r.owner, r.ownerUsage)
}
