package load

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
)

// ProgramStats are statistics of the programs in progress, of one daemon or summed over several.
// From the sums each daemon derives how much of the engines' capacity is in use, and its own part
// of the remaining capacity.
type ProgramStats struct {
	Services map[Digest]ServiceStats // by digest of the service's name
	// Spent is the recent cost of each tenant's programs at the engines, in tokens, by digest of
	// the tenant's name.
	Spent map[Digest]int64
}

// ServiceStats are one service's statistics, of one daemon or summed over several.
type ServiceStats struct {
	Daemons int64 // number of daemons in the sum
	Count   int64 // programs in progress
	Held    int64 // tokens of the programs' contexts
	// Claimed is how many tokens the daemon counts as its own when the capacity is divided: a
	// running mean of Held or, if the daemon has received no sums recently, its equal part of the
	// capacity if that is more.
	Claimed   int64
	Asked     int64 // recent rate at which callers asked to start contexts, in tokens a second
	Turns     int64 // recent turns that continued an earlier one and got a first byte
	FirstByte int64 // sum of these turns' times to the first byte, in microseconds
}

// ProgramSource provides this daemon's program statistics and receives those of all daemons.
type ProgramSource interface {
	// Programs returns this daemon's own statistics.
	Programs() ProgramStats
	// UpdatePrograms receives the sums over all daemons; own is this daemon's part of them.
	UpdatePrograms(all, own ProgramStats)
}

// Maximum ages of program statistics.
const (
	// programsTTL is how long a daemon's program statistics are included in an aggregator's sums,
	// and an aggregator's sums in those of another one: one and a half intervals. The younger the
	// statistics are, the more exactly the daemons together observe the bound on admitted programs.
	// A daemon whose statistics have expired isn't counted in ServiceStats.Daemons either.
	programsTTL = 150 * time.Millisecond
	// MaxProgramStatsAge is the maximum age of any daemon's program statistics when an aggregator
	// sends a reply that includes them: the report and the share arrive within callTimeout
	// and are used for programsTTL each, and the aggregator's sums are reused for sumTTL.
	MaxProgramStatsAge = 2*programsTTL + 2*callTimeout + sumTTL
)

// Limits on the contents of a message.
const (
	// maxServices is above the number of services that a deployment declares.
	maxServices = 64
	// maxTenantsPerMessage bounds the tenants in Spent. Each takes 4 bytes and a varint, usually 6
	// to 8 bytes in all, so together they take about 8 KB.
	maxTenantsPerMessage = 1024
	// maxNumber is the largest number that is accepted: 100,000 engines with 100 million tokens
	// each.
	maxNumber = int64(1e13)
)

// encode writes the number of services, each service's digest and figures, and then each tenant's
// digest and cost. Tenants without cost, and those beyond maxTenantsPerMessage, are left out.
func (p ProgramStats) encode() []byte {
	encoded := binary.AppendUvarint(nil, uint64(len(p.Services)))
	for key, service := range p.Services {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(key))
		for _, figure := range service.figures() {
			encoded = binary.AppendUvarint(encoded, uint64(max(*figure, 0))) //nolint:gosec // not below zero
		}
	}
	encodedTenants := 0
	for key, spent := range p.Spent {
		if spent <= 0 || encodedTenants == maxTenantsPerMessage {
			continue
		}
		encodedTenants++
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(key))
		encoded = binary.AppendUvarint(encoded, uint64(spent))
	}
	return encoded
}

// figures returns pointers to all fields, in the order in which they are encoded.
func (s *ServiceStats) figures() []*int64 {
	return []*int64{&s.Daemons, &s.Count, &s.Held, &s.Claimed, &s.Asked, &s.Turns, &s.FirstByte}
}

func (s *ServiceStats) add(other ServiceStats) {
	theirs := other.figures()
	for index, figure := range s.figures() {
		*figure += *theirs[index]
	}
}

// newPrograms returns empty sums.
func newPrograms() ProgramStats {
	return ProgramStats{Services: map[Digest]ServiceStats{}, Spent: map[Digest]int64{}}
}

// Add adds other to p.
func (p ProgramStats) Add(other ProgramStats) {
	for key, service := range other.Services {
		sum := p.Services[key]
		sum.add(service)
		p.Services[key] = sum
	}
	for key, spent := range other.Spent {
		p.Spent[key] += spent
	}
}

// addEncoded adds encoded statistics to p. Empty input adds nothing. If it returns an error, p is
// unchanged.
func (p ProgramStats) addEncoded(encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	reader := programReader{remaining: encoded}
	services := reader.readNumber()
	if services > maxServices {
		return eris.Errorf("load: too many services in a message: %d", services)
	}
	decoded := newPrograms()
	for range services {
		key := reader.readKey()
		var service ServiceStats
		for _, figure := range service.figures() {
			*figure = reader.readNumber()
		}
		decoded.Services[key] = service
	}
	for reader.err == nil && len(reader.remaining) > 0 {
		key := reader.readKey()
		decoded.Spent[key] = reader.readNumber()
	}
	if reader.err == nil {
		p.Add(decoded)
	}
	return reader.err
}

// programReader decodes digests and numbers. After the first error its methods return 0 and err
// stays set.
type programReader struct {
	remaining []byte
	err       error
}

func (r *programReader) readKey() Digest {
	if r.err != nil || len(r.remaining) < digestBytes {
		r.setError("truncated digest")
		return 0
	}
	key := Digest(binary.LittleEndian.Uint32(r.remaining))
	r.remaining = r.remaining[digestBytes:]
	return key
}

func (r *programReader) readNumber() int64 {
	if r.err != nil {
		return 0
	}
	number, length := binary.Uvarint(r.remaining)
	if length <= 0 || number > uint64(maxNumber) {
		r.setError("invalid number")
		return 0
	}
	r.remaining = r.remaining[length:]
	return int64(number) //nolint:gosec // bounded above
}

func (r *programReader) setError(what string) {
	if r.err == nil {
		r.err = eris.Errorf("load: programs: %s", what)
	}
}

// sumPrograms returns the encoded sums of the program statistics that are at most programsTTL old:
// those of the reports and, if withShares is set, of the shares. The caller holds the mutex.
func (b *Board) sumPrograms(now time.Time, withShares bool) []byte {
	all := newPrograms()
	for _, report := range b.reports {
		if now.Sub(report.at) <= programsTTL {
			_ = all.addEncoded(report.stats.Programs) // was validated on arrival
		}
	}
	for _, share := range b.shares {
		if withShares && now.Sub(share.at) <= programsTTL {
			_ = all.addEncoded(share.stats.Programs) // was validated on arrival
		}
	}
	return all.encode()
}

// localPrograms returns this daemon's encoded program statistics, or nil if it has none.
func (e *Exchange) localPrograms() []byte {
	if e.Programs == nil {
		return nil
	}
	return e.Programs.Programs().encode()
}

// updatePrograms passes the program statistics of a reply to e.Programs. It returns an error if
// they can't be decoded.
func (e *Exchange) updatePrograms(reply ReportReply) error {
	if e.Programs == nil {
		return nil
	}
	all, own := newPrograms(), newPrograms()
	if err := all.addEncoded(reply.All.Programs); err != nil {
		return err
	}
	if err := own.addEncoded(reply.Own.Programs); err != nil {
		return err
	}
	e.Programs.UpdatePrograms(all, own)
	return nil
}
