package load

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
)

// Programs are what daemons tell each other of the programs under way, so that each can
// work out how much of what the engines hold is taken, and how much of it is its own part.
type Programs struct {
	Services map[Key]ServicePrograms // by the digest of the service's name
	// Spent is what the programs of each tenant cost engines lately, in tokens, by the
	// digest of the tenant's name.
	Spent map[Key]int64
}

// ServicePrograms are sums over daemons, or one daemon's own figures.
type ServicePrograms struct {
	Daemons   int64 // that told
	Count     int64 // programs under way
	Held      int64 // tokens of their contexts
	Claimed   int64 // tokens of contexts that the daemon may count on having: Held, or more
	Asked     int64 // tokens of the contexts that callers asked to begin lately, a second
	Turns     int64 // turns that went on from an earlier one and got a first byte lately
	FirstByte int64 // the sum of their times to the first byte, in microseconds
}

// ProgramSource is what a daemon has to tell of its programs, and learns of all.
type ProgramSource interface {
	// Programs gives this daemon's own figures.
	Programs() Programs
	// LearnPrograms takes in what all daemons told; own is this daemon's part of it.
	LearnPrograms(all, own Programs)
}

// How old what is told of programs may be.
const (
	// programsKept is how long a daemon's programs count at an aggregator, and an
	// aggregator's sum at another one: an interval and a half. Parts of a bound are the
	// closer to it the younger all figures are; who is left out is not counted as a
	// daemon either.
	programsKept = 150 * time.Millisecond
	// OldestPrograms bounds how long before a picture's arrival any daemon told what it says
	// of programs: both calls on the way are given up after reportWait, and the picture is
	// made anew after pictureKept.
	OldestPrograms = 2*programsKept + 2*reportWait + pictureKept
)

// Bounds of what is told and believed.
const (
	// mostServices is more services of models than a deployment declares.
	mostServices = 64
	// mostTenantsTold bounds what one message holds: the tenants that spent lately. At 6 to 8
	// bytes each a message stays under 8 KB.
	mostTenantsTold = 1024
	// mostTokens bounds a sum that is believed: a hundred thousand engines with a hundred
	// million tokens each.
	mostTokens = int64(1e13)
)

// encode writes the count of services, each with its figures, and the tenants after them.
func (p Programs) encode() []byte {
	encoded := binary.AppendUvarint(nil, uint64(len(p.Services)))
	for key, service := range p.Services {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(key))
		for _, figure := range service.figures() {
			encoded = binary.AppendUvarint(encoded, uint64(max(*figure, 0))) //nolint:gosec // not below zero
		}
	}
	told := 0
	for key, spent := range p.Spent {
		if spent <= 0 || told == mostTenantsTold {
			continue
		}
		told++
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(key))
		encoded = binary.AppendUvarint(encoded, uint64(spent))
	}
	return encoded
}

// figures lists the fields in the order in which they are written.
func (s *ServicePrograms) figures() []*int64 {
	return []*int64{&s.Daemons, &s.Count, &s.Held, &s.Claimed, &s.Asked, &s.Turns, &s.FirstByte}
}

func (s *ServicePrograms) add(other ServicePrograms) {
	theirs := other.figures()
	for index, figure := range s.figures() {
		*figure += *theirs[index]
	}
}

// newPrograms makes empty sums.
func newPrograms() Programs {
	return Programs{Services: map[Key]ServicePrograms{}, Spent: map[Key]int64{}}
}

// Include adds what another daemon told.
func (p Programs) Include(other Programs) {
	for key, told := range other.Services {
		sum := p.Services[key]
		sum.add(told)
		p.Services[key] = sum
	}
	for key, spent := range other.Spent {
		p.Spent[key] += spent
	}
}

// add adds encoded programs. Nothing at all is a daemon that tells none.
func (p Programs) add(encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	reader := programReader{left: encoded}
	services := reader.number()
	if services > mostServices {
		return eris.Errorf("load: %d services of programs are told", services)
	}
	read := newPrograms()
	for range services {
		key := reader.key()
		var told ServicePrograms
		for _, figure := range told.figures() {
			*figure = reader.number()
		}
		read.Services[key] = told
	}
	for reader.err == nil && len(reader.left) > 0 {
		key := reader.key()
		read.Spent[key] = reader.number()
	}
	if reader.err == nil {
		p.Include(read)
	}
	return reader.err
}

// programReader reads until the first fault, which it keeps.
type programReader struct {
	left []byte
	err  error
}

func (r *programReader) key() Key {
	if r.err != nil || len(r.left) < digestBytes {
		r.fail("a digest is cut off")
		return 0
	}
	key := Key(binary.LittleEndian.Uint32(r.left))
	r.left = r.left[digestBytes:]
	return key
}

func (r *programReader) number() int64 {
	if r.err != nil {
		return 0
	}
	number, length := binary.Uvarint(r.left)
	if length <= 0 || number > uint64(mostTokens) {
		r.fail("a figure cannot be read")
		return 0
	}
	r.left = r.left[length:]
	return int64(number) //nolint:gosec // bounded above
}

func (r *programReader) fail(what string) {
	if r.err == nil {
		r.err = eris.Errorf("load: programs: %s", what)
	}
}

// programs adds up what is fresh of the reports, and of the shares if these are asked
// for; the lock is held.
func (b *Board) programs(now time.Time, withShares bool) []byte {
	all := newPrograms()
	for _, report := range b.reports {
		if now.Sub(report.at) <= programsKept {
			_ = all.add(report.told.Programs) // was read whole when it came
		}
	}
	for _, share := range b.shares {
		if withShares && now.Sub(share.at) <= programsKept {
			_ = all.add(share.told.Programs) // was read whole when it came
		}
	}
	return all.encode()
}

// ownPrograms is what this daemon tells of its programs; nothing where nobody follows them.
func (e *Exchange) ownPrograms() []byte {
	if e.Programs == nil {
		return nil
	}
	return e.Programs.Programs().encode()
}

// learnPrograms takes in the programs of a picture.
func (e *Exchange) learnPrograms(picture Picture) error {
	if e.Programs == nil {
		return nil
	}
	all, own := newPrograms(), newPrograms()
	if err := all.add(picture.All.Programs); err != nil {
		return err
	}
	if err := own.add(picture.Own.Programs); err != nil {
		return err
	}
	e.Programs.LearnPrograms(all, own)
	return nil
}
