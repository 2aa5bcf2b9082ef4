package turn

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// body is the content of a turn's rows.
type body struct {
	Engine    string   `cbor:"e,omitempty"`
	Owner     string   `cbor:"o,omitempty"`
	Ancestors []string `cbor:"a,omitempty"` // identifiers, the nearest first; empty if the conversation starts here
	Parts     []part   `cbor:"p"`
	Digest    digest   `cbor:"d"` // digest of the conversation up to the turn's end
}

// part is either bytes or a reference to a piece.
type part struct {
	Bytes  []byte `cbor:"b,omitempty"`
	Piece  []byte `cbor:"d,omitempty"` // digest of the piece; empty if Bytes is the content
	Length int    `cbor:"l,omitempty"` // bytes of the piece
	// Spilled reports that the piece belongs to this turn alone and is a piece only because the
	// turn is too large for its rows.
	Spilled bool `cbor:"s,omitempty"`
}

// referencePart returns a part that refers to a piece.
func referencePart(reference piece.Reference) part {
	return part{Piece: reference.Digest[:], Length: reference.Length}
}

// reference returns the piece that the part refers to, and whether it refers to one.
func (p part) reference() (reference piece.Reference, isReference bool) {
	if len(p.Piece) != len(reference.Digest) {
		return reference, false
	}
	return piece.Reference{Digest: [len(reference.Digest)]byte(p.Piece), Length: p.Length}, true
}

// row is the decoded content of all rows of a turn.
type row struct {
	body
	expires int64       // Unix time in seconds from which on the rows may be removed
	legacy  *legacyTurn // the turn if it is in the legacy format, and nil otherwise
}

// decodeRow decodes the rows of a turn, in the current or the legacy format. The error is
// ErrNotFound or one of package rowset.
func decodeRow(identifier string, rows []state.Row) (row, error) {
	value, err := rowset.Join(identifier, rows)
	switch {
	case eris.Is(err, rowset.ErrAbsent):
		return row{}, ErrNotFound
	case eris.Is(err, rowset.ErrFormat):
		if known, is := decodeLegacy(identifier, rows); is {
			return row{legacy: &known, expires: known.Expires}, nil
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

// legacyTurn is the format of earlier versions, in which the rows hold the whole history.
type legacyTurn struct {
	History []byte `cbor:"h"`
	Engine  string `cbor:"e"`
	Expires int64  `cbor:"x"`
}

// decodeLegacy joins the rows of a turn in the legacy format and decodes them. It reports whether
// the rows are in that format.
func decodeLegacy(identifier string, rows []state.Row) (legacyTurn, bool) {
	parts := make(map[string][]byte, len(rows))
	for _, each := range rows {
		parts[each.Key.Name] = each.Value
	}
	value := append([]byte(nil), parts[identifier]...)
	for number := 1; ; number++ {
		next, found := parts[identifier+"/"+strconv.Itoa(number)]
		if !found {
			break
		}
		value = append(value, next...)
	}
	var known legacyTurn
	err := cbor.Unmarshal(value, &known)
	return known, err == nil && known.Expires > 0
}

// legacyExpiry returns the Unix time in seconds at which a turn in the legacy format expires. It
// recognizes only turns that consist of a single row, and reports whether stored is one.
func legacyExpiry(stored state.Row) (int64, bool) {
	legacy, isLegacy := decodeLegacy(stored.Key.Name, []state.Row{stored})
	return legacy.Expires, isLegacy
}
