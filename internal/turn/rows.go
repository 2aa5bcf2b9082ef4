package turn

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// body is what the rows of a turn hold.
type body struct {
	Engine    string   `cbor:"e,omitempty"`
	Owner     string   `cbor:"o,omitempty"`
	Ancestors []string `cbor:"a,omitempty"` // the nearest first; empty: the conversation begins here
	Parts     []part   `cbor:"p"`
	Digest    digest   `cbor:"d"` // of the conversation up to the turn's end
}

// part is bytes, or a reference to a piece.
type part struct {
	Bytes  []byte `cbor:"b,omitempty"`
	Piece  []byte `cbor:"d,omitempty"` // digest; empty: the bytes are here
	Length int    `cbor:"l,omitempty"` // of the piece
	// Spilled tells that the piece is the turn's own, and is kept apart for its size.
	Spilled bool `cbor:"s,omitempty"`
}

func referTo(reference piece.Reference) part {
	return part{Piece: reference.Digest[:], Length: reference.Length}
}

// reference returns the piece that a part names.
func (p part) reference() (reference piece.Reference, names bool) {
	if len(p.Piece) != len(reference.Digest) {
		return reference, false
	}
	return piece.Reference{Digest: [len(reference.Digest)]byte(p.Piece), Length: p.Length}, true
}

// row is a turn as it was read.
type row struct {
	body
	expires int64   // unix seconds
	former  *former // set for a turn of the former format
}

// decodeRow joins the rows of a turn. Its errors are ErrNotFound and those of rowset.
func decodeRow(identifier string, rows []state.Row) (row, error) {
	value, err := rowset.Join(identifier, rows)
	switch {
	case eris.Is(err, rowset.ErrAbsent):
		return row{}, ErrNotFound
	case eris.Is(err, rowset.ErrFormat):
		if known, is := decodeFormer(identifier, rows); is {
			return row{former: &known, expires: known.Expires}, nil
		}
		return row{}, err
	case err != nil:
		return row{}, err
	}
	decoded := row{expires: value.Expires}
	if err := cbor.Unmarshal(value.Bytes, &decoded.body); err != nil {
		return row{}, eris.Wrapf(rowset.ErrFormat, "turn: %v", err)
	}
	return decoded, nil
}

// former is a turn as versions wrote it whose rows held the whole history.
type former struct {
	History []byte `cbor:"h"`
	Engine  string `cbor:"e"`
	Expires int64  `cbor:"x"`
}

func decodeFormer(identifier string, rows []state.Row) (former, bool) {
	parts := make(map[string][]byte, len(rows))
	for _, each := range rows {
		parts[each.Key.Name] = each.Value
	}
	value := append([]byte(nil), parts[identifier]...)
	for number := 1; ; number++ {
		next, more := parts[identifier+"/"+strconv.Itoa(number)]
		if !more {
			break
		}
		value = append(value, next...)
	}
	var known former
	err := cbor.Unmarshal(value, &known)
	return known, err == nil && known.Expires > 0
}

// formerExpiry tells when a turn of the former format that fits one row is over.
func formerExpiry(of state.Row) (int64, bool) {
	known, is := decodeFormer(of.Key.Name, []state.Row{of})
	return known.Expires, is
}
