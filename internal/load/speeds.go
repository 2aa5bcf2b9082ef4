package load

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Work is what an engine did lately, as daemons saw it. All three numbers are sums
// whose parts lose weight with time at the same rate, so that sums of several daemons
// add up, and a ratio of two of them is a mean.
type Work struct {
	Pieces  int // hundredths of pieces: events of a stream, or whole answers that are no stream
	Answers int // hundredths of answers
	Taken   int // milliseconds that these pieces took
}

// Speeds is the work of engines; those without any are left out.
type Speeds map[Key]Work

// mostWork bounds a number that is believed: in milliseconds 24 days, which is more
// than all the answers of one engine take in the time that sums reach back.
const mostWork = 1 << 31

// workNumbers are the varints of an entry.
const workNumbers = 3

// encode writes each engine's digest and its numbers as varints, some ten bytes an engine.
func (s Speeds) encode() []byte {
	const usualNumberBytes = 2
	encoded := make([]byte, 0, len(s)*(digestBytes+workNumbers*usualNumberBytes))
	for key, work := range s {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(key))
		for _, number := range [workNumbers]int{work.Pieces, work.Answers, work.Taken} {
			encoded = binary.AppendUvarint(encoded, uint64(min(max(number, 0), mostWork)))
		}
	}
	return encoded
}

// add adds encoded work; it fails for what is cut or beyond belief.
func (s Speeds) add(encoded []byte) error {
	for len(encoded) > 0 {
		if len(encoded) <= digestBytes {
			return eris.Errorf("load: %d bytes are left of an engine's work", len(encoded))
		}
		key := Key(binary.LittleEndian.Uint32(encoded))
		encoded = encoded[digestBytes:]
		var numbers [workNumbers]int
		for index := range numbers {
			number, length := binary.Uvarint(encoded)
			if length <= 0 || number > mostWork {
				return eris.Errorf("load: the work of %08x cannot be read", uint32(key))
			}
			numbers[index] = int(number)
			encoded = encoded[length:]
		}
		s[key] = s[key].Plus(Work{Pieces: numbers[0], Answers: numbers[1], Taken: numbers[2]})
	}
	return nil
}

// Plus adds up two parts of an engine's work.
func (w Work) Plus(other Work) Work {
	return Work{Pieces: w.Pieces + other.Pieces, Answers: w.Answers + other.Answers, Taken: w.Taken + other.Taken}
}

// Less takes a part out; nothing falls below zero.
func (w Work) Less(part Work) Work {
	return Work{
		Pieces: max(w.Pieces-part.Pieces, 0), Answers: max(w.Answers-part.Answers, 0), Taken: max(w.Taken-part.Taken, 0),
	}
}
