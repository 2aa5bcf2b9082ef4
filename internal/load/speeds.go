package load

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Work is an engine's recent work, as daemons observed it. Each number is a sum in which older
// observations count less; the weight decreases at the same rate for all three. Sums of several
// daemons can therefore be added, and the ratio of two numbers is a mean.
type Work struct {
	ChunkHundredths  int // hundredths of chunks; a chunk is an event of a stream, or a whole answer that is not a stream
	AnswerHundredths int // hundredths of answers
	Millis           int // milliseconds that these chunks took
}

// EngineWork is the recent work by engine. Engines without work are left out.
type EngineWork map[Digest]Work

// maxWork is the largest number of a Work that is accepted. As milliseconds it is 24 days, more
// than the weighted sum of one engine's answer times can reach.
const maxWork = 1 << 31

// workFieldCount is the number of varints in an entry.
const workFieldCount = 3

// encode writes each engine's digest, followed by its numbers as varints: about ten bytes an
// engine.
func (w EngineWork) encode() []byte {
	const usualNumberBytes = 2
	encoded := make([]byte, 0, len(w)*(digestBytes+workFieldCount*usualNumberBytes))
	for key, work := range w {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(key))
		for _, number := range [workFieldCount]int{work.ChunkHundredths, work.AnswerHundredths, work.Millis} {
			encoded = binary.AppendUvarint(encoded, uint64(min(max(number, 0), maxWork)))
		}
	}
	return encoded
}

// addEncoded adds encoded work to w. It returns an error if the input is truncated or a number
// exceeds maxWork; the entries before the invalid one have been added by then.
func (w EngineWork) addEncoded(encoded []byte) error {
	for len(encoded) > 0 {
		if len(encoded) <= digestBytes {
			return eris.Errorf("load: truncated work entry of %d bytes", len(encoded))
		}
		key := Digest(binary.LittleEndian.Uint32(encoded))
		encoded = encoded[digestBytes:]
		var numbers [workFieldCount]int
		for index := range numbers {
			number, length := binary.Uvarint(encoded)
			if length <= 0 || number > maxWork {
				return eris.Errorf("load: invalid work of engine %08x", uint32(key))
			}
			numbers[index] = int(number)
			encoded = encoded[length:]
		}
		w[key] = w[key].Add(Work{ChunkHundredths: numbers[0], AnswerHundredths: numbers[1], Millis: numbers[2]})
	}
	return nil
}

// Add returns the sums of the numbers of w and other.
func (w Work) Add(other Work) Work {
	return Work{ChunkHundredths: w.ChunkHundredths + other.ChunkHundredths, AnswerHundredths: w.AnswerHundredths + other.AnswerHundredths, Millis: w.Millis + other.Millis}
}

// Sub returns w minus part. Numbers don't fall below zero.
func (w Work) Sub(part Work) Work {
	return Work{
		ChunkHundredths: max(w.ChunkHundredths-part.ChunkHundredths, 0), AnswerHundredths: max(w.AnswerHundredths-part.AnswerHundredths, 0), Millis: max(w.Millis-part.Millis, 0),
	}
}
