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
	Length int    `cbor:"l,omitempty"` // size of the piece in bytes
	// Spilled is set if the piece is not shared, and exists only because the turn is too large
	// for its rows.
	Spilled bool `cbor:"s,omitempty"`
}

// referencePart returns a part that refers to a piece.
func referencePart(reference piece.Reference) part {
	return part{Piece: reference.Digest[:], Length: reference.Length}
}

// reference returns a reference to the part's piece. It reports false if the part holds bytes.
func (p part) reference() (reference piece.Reference, isReference bool) {
	if len(p.Piece) != len(reference.Digest) {
		return reference, false
	}
	return piece.Reference{Digest: [len(reference.Digest)]byte(p.Piece), Length: p.Length}, true
}

// row is the decoded content of all rows of a turn.
type row struct {
	body
	expires int64       // Unix time in seconds after which the rows may be removed
	legacy  *legacyTurn // content in the legacy format; nil if body holds the content
}

// decodeRow decodes the rows of a turn, in the current or the legacy format. The error is
// ErrNotFound or one of package rowset.
func decodeRow(identifier string, rows []state.Row) (row, error) {
	value, err := rowset.Join(identifier, rows)
	switch {
	case eris.Is(err, rowset.ErrNotFound):
		return row{}, ErrNotFound
	case eris.Is(err, rowset.ErrUnknownFormat):
		if legacyValue, isLegacy := decodeLegacy(identifier, rows); isLegacy {
			return row{legacy: &legacyValue, expires: legacyValue.Expires}, nil
		}
		return row{}, err
	case err != nil:
		return row{}, err
	}
	decoded := row{expires: value.ExpiresAt}
	if err := cbor.Unmarshal(value.Bytes, &decoded.body); err != nil {
		return row{}, eris.Wrapf(rowset.ErrUnknownFormat, "turn: %v", err)
	}
	return decoded, nil
}

// legacyTurn is the content of a turn's rows in the format of earlier versions. It includes the
// whole history.
type legacyTurn struct {
	History []byte `cbor:"h"`
	Engine  string `cbor:"e"`
	Expires int64  `cbor:"x"`
}

// decodeLegacy joins the rows of a turn and decodes them in the legacy format. It reports whether
// they are in that format.
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
	var decoded legacyTurn
	err := cbor.Unmarshal(value, &decoded)
	return decoded, err == nil && decoded.Expires > 0
}

// legacyExpiry returns the Unix time in seconds at which a turn in the legacy format expires. It
// reports false if stored is not the only row of such a turn.
func legacyExpiry(stored state.Row) (int64, bool) {
	legacy, isLegacy := decodeLegacy(stored.Key.Name, []state.Row{stored})
	return legacy.Expires, isLegacy
}
