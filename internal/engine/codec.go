package engine

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// A batch of digests is a sequence of encoded records. A short record holds only the fields
// that change often (load and state). A full record also holds the static fields, which rarely
// change; a short record refers to them by a checksum. Counts are unsigned varints as in
// encoding/binary; hashes, checksums and rates are little-endian numbers of fixed size.

// errMalformedBatch is returned for bytes that cannot be decoded as a batch.
var errMalformedBatch = errors.New("malformed batch of digests")

const (
	flagFull    = 1 << 0
	flagServing = 1 << 1
	flagLoading = 1 << 2

	hashBytes        = 6
	hashMask         = 1<<(8*hashBytes) - 1
	checksumMask     = 0xffff
	waitingTokenUnit = 64  // waiting tokens are encoded in multiples of this
	cacheUseSteps    = 255 // cache use is encoded as 0 to 255, where 255 is a full cache
	maxStringBytes   = 1 << 10
	maxAdapters      = 1 << 10
	maxCount         = math.MaxInt32
	maxWaitingUnits  = math.MaxInt64 / waitingTokenUnit
)

// nameHash returns the 48-bit hash that identifies an engine in a record.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) & hashMask }

// staticChecksum returns a 16-bit checksum of the engine's name and the static fields of its
// digest.
func staticChecksum(digest *Digest) uint16 {
	return uint16(xxhash.Sum64(appendStaticFields([]byte(digest.Engine), digest)) & checksumMask)
}

// appendRecord appends the encoded digest to buffer: a full record if full is set, else a short
// one. checksum must be the digest's staticChecksum.
func appendRecord(buffer []byte, digest *Digest, checksum uint16, full bool) []byte {
	flags := byte(0)
	if full {
		flags |= flagFull
	}
	if digest.Serving {
		flags |= flagServing
	}
	if digest.Loading {
		flags |= flagLoading
	}
	buffer = append(buffer, flags)
	var hash [8]byte
	binary.LittleEndian.PutUint64(hash[:], nameHash(digest.Engine))
	buffer = append(buffer, hash[:hashBytes]...)
	buffer = binary.LittleEndian.AppendUint16(buffer, checksum)
	buffer = binary.AppendUvarint(buffer, digest.Sequence)
	buffer = binary.AppendUvarint(buffer, uint64(max(digest.Running, 0)))
	buffer = binary.AppendUvarint(buffer, uint64(max(digest.Waiting, 0)))
	buffer = binary.AppendUvarint(buffer, encodedWaitingTokens(digest))
	buffer = append(buffer, encodedCacheUse(digest))
	if full {
		buffer = appendStaticFields(buffer, digest)
	}
	return buffer
}

// encodedWaitingTokens returns the waiting tokens in units of waitingTokenUnit, rounded up, so
// that a queue that is not empty is never encoded as empty.
func encodedWaitingTokens(digest *Digest) uint64 {
	return uint64(max(digest.WaitingTokens, 0)+waitingTokenUnit-1) / waitingTokenUnit
}

// encodedCacheUse returns the share of the cache in use, scaled to cacheUseSteps. Encoding a
// decoded value gives the same byte again, so that relays do not change it.
func encodedCacheUse(digest *Digest) byte {
	if digest.CacheTokens <= 0 {
		return 0
	}
	share := float64(max(digest.CacheUsed, 0)) / float64(digest.CacheTokens)
	return byte(math.Round(min(share, 1) * cacheUseSteps))
}

// appendStaticFields appends the fields that only full records contain.
func appendStaticFields(buffer []byte, digest *Digest) []byte {
	buffer = binary.AppendUvarint(buffer, digest.Fence)
	buffer = appendString(buffer, digest.Model)
	buffer = appendString(buffer, digest.Version)
	buffer = appendString(buffer, digest.Role)
	buffer = binary.AppendUvarint(buffer, uint64(len(digest.Adapters)))
	for _, adapter := range digest.Adapters {
		buffer = appendString(buffer, adapter)
	}
	buffer = binary.AppendUvarint(buffer, uint64(max(digest.CacheTokens, 0)))
	buffer = binary.LittleEndian.AppendUint32(buffer, math.Float32bits(float32(digest.PrefillPerSec)))
	buffer = binary.LittleEndian.AppendUint32(buffer, math.Float32bits(float32(digest.DecodePerSec)))
	return binary.AppendUvarint(buffer, uint64(max(digest.MaxRunning, 0)))
}

func appendString(buffer []byte, text string) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(text)))
	return append(buffer, text...)
}

// record is a decoded record of a batch. Digest.Engine is empty until complete is called; Hash
// identifies the engine. In a short record the static fields of Digest are empty and Checksum
// is the checksum of the static fields that it refers to.
type record struct {
	Digest   Digest
	Hash     uint64
	Checksum uint16
	Full     bool
	cacheUse byte
}

// complete sets the engine's name and, in a short record, takes the static fields from the
// known report. For a short record it returns false if the known report is nil or has other
// static fields; for a full record, if the checksum is wrong.
func (r *record) complete(name string, known *report) bool {
	r.Digest.Engine = name
	if r.Full && staticChecksum(&r.Digest) != r.Checksum {
		return false
	}
	if !r.Full {
		if known == nil || known.checksum != r.Checksum {
			return false
		}
		short := r.Digest
		r.Digest = known.digest
		r.Digest.Sequence = short.Sequence
		r.Digest.Running = short.Running
		r.Digest.Waiting = short.Waiting
		r.Digest.WaitingTokens = short.WaitingTokens
		r.Digest.Serving = short.Serving
		r.Digest.Loading = short.Loading
	}
	r.Digest.CacheUsed = int64(math.Round(float64(r.Digest.CacheTokens) * float64(r.cacheUse) / cacheUseSteps))
	return true
}

// decodeRecords decodes a whole batch. If any record is malformed it returns errMalformedBatch
// and no records.
func decodeRecords(data []byte) ([]record, error) {
	reader := &batchReader{data: data}
	var records []record
	for len(reader.data) > 0 && reader.err == nil {
		records = append(records, reader.readRecord())
	}
	if reader.err != nil {
		return nil, reader.err
	}
	return records, nil
}

// batchReader reads fields from data. After the first error it stores that error and returns
// zero values.
type batchReader struct {
	data []byte
	err  error
}

func (b *batchReader) readRecord() record {
	var read record
	flags := b.readByte()
	read.Full = flags&flagFull != 0
	read.Digest.Serving = flags&flagServing != 0
	read.Digest.Loading = flags&flagLoading != 0
	var hash [8]byte
	copy(hash[:hashBytes], b.readBytes(hashBytes))
	read.Hash = binary.LittleEndian.Uint64(hash[:])
	if checksum := b.readBytes(2); checksum != nil {
		read.Checksum = binary.LittleEndian.Uint16(checksum)
	}
	read.Digest.Sequence = b.readUvarint(math.MaxUint64)
	read.Digest.Running = int(b.readUvarint(maxCount))
	read.Digest.Waiting = int(b.readUvarint(maxCount))
	read.Digest.WaitingTokens = int64(b.readUvarint(maxWaitingUnits) * waitingTokenUnit)
	read.cacheUse = b.readByte()
	if read.Full {
		b.readStaticFields(&read.Digest)
	}
	return read
}

func (b *batchReader) readStaticFields(digest *Digest) {
	digest.Fence = b.readUvarint(math.MaxUint64)
	digest.Model = b.readString()
	digest.Version = b.readString()
	digest.Role = b.readString()
	for range b.readUvarint(maxAdapters) {
		digest.Adapters = append(digest.Adapters, b.readString())
	}
	digest.CacheTokens = int64(b.readUvarint(math.MaxInt64))
	digest.PrefillPerSec = float64(b.readFloat32())
	digest.DecodePerSec = float64(b.readFloat32())
	digest.MaxRunning = int(b.readUvarint(maxCount))
}

func (b *batchReader) readBytes(count int) []byte {
	if b.err == nil && len(b.data) < count {
		b.err = eris.Wrapf(errMalformedBatch, "%d bytes left, need %d", len(b.data), count)
	}
	if b.err != nil {
		return nil
	}
	read := b.data[:count]
	b.data = b.data[count:]
	return read
}

func (b *batchReader) readByte() byte {
	if read := b.readBytes(1); read != nil {
		return read[0]
	}
	return 0
}

func (b *batchReader) readFloat32() float32 {
	if read := b.readBytes(4); read != nil {
		return math.Float32frombits(binary.LittleEndian.Uint32(read))
	}
	return 0
}

func (b *batchReader) readUvarint(limit uint64) uint64 {
	if b.err != nil {
		return 0
	}
	value, size := binary.Uvarint(b.data)
	if size <= 0 || value > limit {
		b.err = eris.Wrap(errMalformedBatch, "varint is truncated or out of range")
		return 0
	}
	b.data = b.data[size:]
	return value
}

func (b *batchReader) readString() string {
	return string(b.readBytes(int(b.readUvarint(maxStringBytes))))
}
