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

// maxEvictions is how many requests a reservation may end to make room for itself.
const maxEvictions = 16

// maxEvictingBytes is the largest reservation of a request that makes room for itself.
const maxEvictingBytes = 64 << 10

// Grow reserves bytes that the caller is about to allocate. It returns an *ExceededError if a
// limit would be exceeded or the reservation is closed. For a header, and for a small part of a
// request, others that wait for their callers make room.
func (r *Reservation) Grow(kind Kind, bytes int64) error {
	if r == nil || bytes <= 0 {
		return nil
	}
	err := r.tryGrow(kind, bytes)
	for evictions := 0; err != nil && evictions < maxEvictions && r.makesRoom(kind, bytes) && r.account.evict(); evictions++ {
		err = r.tryGrow(kind, bytes)
	}
	return err
}

// makesRoom reports whether others may be ended for these bytes.
func (r *Reservation) makesRoom(kind Kind, bytes int64) bool {
	if r.account.evict == nil || r.isClosed() {
		return false
	}
	return kind == Header || kind == Request && bytes <= maxEvictingBytes
}

func (r *Reservation) isClosed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.closed
}

// Bytes returns the number of bytes reserved.
func (r *Reservation) Bytes() (sum int64) {
	if r == nil {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, bytes := range r.bytes {
		sum += bytes
	}
	return sum
}

// ShrinkTo releases the bytes of the kind beyond the given number.
func (r *Reservation) ShrinkTo(kind Kind, bytes int64) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.shrink(kind, max(r.bytes[kind]-bytes, 0))
}

func (r *Reservation) tryGrow(kind Kind, bytes int64) error {
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
